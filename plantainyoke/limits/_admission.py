"""Admission of requests to one upstream.

Requests beyond the concurrency limit wait in a bounded queue until a slot is free or
their deadline expires. Refused requests have not run, so a retry is safe.
"""

import asyncio
from collections import deque
from dataclasses import dataclass
from enum import Enum

from plantainyoke.limits._adaptive import AdaptiveConcurrencyLimit

QUEUED_REQUESTS_PER_SLOT = 8


class RefusalReason(Enum):
    """Reason for the refusal of a request that has not run."""

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
    """A request was refused and certainly has not run.

    Attributes
    ----------
    reason : RefusalReason
    retry_after_s : float
        Delay in seconds before which a retry is not useful.
    """

    reason: RefusalReason
    retry_after_s: float = 0.1

    def __str__(self) -> str:
        return self.reason.value


class RequestAdmission:
    """Allocates the slots of one upstream to requests in order of arrival.

    Parameters
    ----------
    limit : AdaptiveConcurrencyLimit

    Attributes
    ----------
    in_flight : int
        Requests that hold a slot.
    waiters : deque of asyncio.Future
        One future for each queued request; its result is set when the request
        receives a slot.
    """

    def __init__(self, limit: AdaptiveConcurrencyLimit) -> None:
        self.limit = limit
        self.in_flight = 0
        self.waiters: deque[asyncio.Future] = deque()

    @property
    def has_free_slot(self) -> bool:
        """Whether a new request would start without waiting."""
        return self.in_flight < self.limit.value and not self.waiters

    @property
    def queue_capacity(self) -> int:
        """Maximum number of queued requests."""
        return QUEUED_REQUESTS_PER_SLOT * self.limit.ceiling

    async def acquire(self, deadline: float) -> None:
        """Acquire a slot, waiting in the queue until the deadline if necessary.

        Parameters
        ----------
        deadline : float
            Loop time in seconds after which the request must not start.

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
            self._remove_waiter(waiter)
            raise RequestRefusedError(RefusalReason.DEADLINE_EXPIRED) from None
        except asyncio.CancelledError:
            self._remove_waiter(waiter)
            raise

    def release(self) -> None:
        """Release a slot and start the next queued request."""
        self.in_flight -= 1
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Start queued requests while slots are free."""
        while self.waiters and self.in_flight < self.limit.value:
            waiter = self.waiters.popleft()
            if not waiter.done():
                self.in_flight += 1
                waiter.set_result(None)

    def _remove_waiter(self, waiter: asyncio.Future) -> None:
        has_slot = waiter.done() and not waiter.cancelled()
        if has_slot:
            self.release()
        elif waiter in self.waiters:
            self.waiters.remove(waiter)
