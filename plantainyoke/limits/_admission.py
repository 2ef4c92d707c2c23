"""Admission of requests to one upstream: concurrency and a bounded queue."""

import asyncio
from collections import deque
from dataclasses import dataclass
from enum import Enum

from plantainyoke.limits._adaptive import AdaptiveConcurrencyLimit

QUEUE_PER_SLOT = 8


class RefusalReason(Enum):
    """Why a request was refused before it ran."""

    QUEUE_FULL = "queue_full"
    DEADLINE_EXPIRED = "deadline_expired"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"
    SHED = "shed"
    FENCED = "fenced"
    TOO_LARGE = "too_large"
    WRONG_SERVICE = "wrong_service"
    MALFORMED = "malformed"


@dataclass
class RequestRefusedError(Exception):
    """A request that provably did not run.

    Attributes
    ----------
    reason : RefusalReason
    retry_after_s : float
        Earliest useful retry.
    """

    reason: RefusalReason
    retry_after_s: float = 0.1

    def __str__(self) -> str:
        return self.reason.value


class RequestAdmission:
    """Slots of one upstream and the requests that wait for them.

    Parameters
    ----------
    limit : AdaptiveConcurrencyLimit
    """

    def __init__(self, limit: AdaptiveConcurrencyLimit) -> None:
        self.limit = limit
        self.in_flight = 0
        self.waiters: deque[asyncio.Future] = deque()

    @property
    def has_free_slot(self) -> bool:
        """Whether a request would start at once."""
        return self.in_flight < self.limit.value and not self.waiters

    @property
    def queue_capacity(self) -> int:
        """Most requests that may wait."""
        return QUEUE_PER_SLOT * self.limit.ceiling

    async def acquire(self, deadline: float) -> None:
        """Take a slot, waiting in order until the deadline.

        Parameters
        ----------
        deadline : float
            Loop time after which the request is not started.

        Raises
        ------
        RequestRefusedError
            If the queue is full or the deadline expires first.
        """
        loop = asyncio.get_running_loop()
        if deadline <= loop.time():
            raise RequestRefusedError(RefusalReason.DEADLINE_EXPIRED)
        if self.has_free_slot:
            self.in_flight += 1
            return
        if len(self.waiters) >= self.queue_capacity:
            raise RequestRefusedError(RefusalReason.QUEUE_FULL)
        await self._wait_for_slot(loop, deadline)

    async def _wait_for_slot(self, loop, deadline: float) -> None:
        waiter = loop.create_future()
        self.waiters.append(waiter)
        try:
            async with asyncio.timeout_at(deadline):
                await waiter
        except TimeoutError:
            self._abandon(waiter)
            raise RequestRefusedError(RefusalReason.DEADLINE_EXPIRED) from None
        except asyncio.CancelledError:
            self._abandon(waiter)
            raise

    def release(self) -> None:
        """Give a slot back and start the next waiting request."""
        self.in_flight -= 1
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Start waiting requests while the limit allows."""
        while self.waiters and self.in_flight < self.limit.value:
            waiter = self.waiters.popleft()
            if not waiter.done():
                self.in_flight += 1
                waiter.set_result(None)

    def _abandon(self, waiter: asyncio.Future) -> None:
        granted = waiter.done() and not waiter.cancelled()
        if granted:
            self.release()
        elif waiter in self.waiters:
            self.waiters.remove(waiter)
