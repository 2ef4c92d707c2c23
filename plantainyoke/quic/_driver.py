"""Asyncio driver that runs one QUIC connection in one task.

aioquic does no input or output: the driver passes datagrams and timers to it, sends
what it writes and dispatches its events.
"""

import asyncio
from collections import deque
from collections.abc import Callable

from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import ConnectionTerminated, QuicEvent

from plantainyoke.network import (
    Address,
)

MAX_INBOX_DATAGRAMS = 512


class ConnectionDriver:
    """Driver of the input, timers and output of one connection.

    Parameters
    ----------
    quic : QuicConnection
    send : callable
        Called with ``(datagram, destination)``.
    handle_event : callable
        Called with each QuicEvent.
    is_worth_keeping : callable, optional
        Called after each round of input; ``run`` returns if the result is False.

    Attributes
    ----------
    received_at : float
        Loop time of the last round with datagrams, in seconds.
    timer_at : float or None
        Loop time at which the connection's timer expires.
    """

    def __init__(
        self,
        quic: QuicConnection,
        send: Callable[[bytes, Address], None],
        handle_event: Callable[[QuicEvent], None],
        is_worth_keeping: Callable[[], bool] = lambda: True,
    ) -> None:
        self.quic = quic
        self.send = send
        self.handle_event = handle_event
        self.is_worth_keeping = is_worth_keeping
        self.loop = asyncio.get_running_loop()
        self.inbox: deque[tuple[bytes, Address]] = deque()
        self.wake_future: asyncio.Future | None = None
        self.timer_handle: asyncio.TimerHandle | None = None
        self.timer_at: float | None = None
        self.wake_requested = False
        self.is_terminated = False
        self.received_at = self.loop.time()
        self.progress_waiters: set[asyncio.Future] = set()

    def receive_datagram(self, datagram: bytes, source: Address) -> bool:
        """Queue a received datagram; return False if the inbox is full."""
        if len(self.inbox) >= MAX_INBOX_DATAGRAMS:
            return False
        self.inbox.append((datagram, source))
        self.wake()
        return True

    def wake(self) -> None:
        """Wake the task, so that it sends what was written to the connection."""
        self.wake_requested = True
        if self.wake_future is not None and not self.wake_future.done():
            self.wake_future.set_result(None)

    async def wait_for_progress(self) -> None:
        """Wait until the connection has handled another round of input."""
        future = self.loop.create_future()
        self.progress_waiters.add(future)
        try:
            await future
        finally:
            self.progress_waiters.discard(future)

    async def run(self) -> None:
        """Drive the connection until it is terminated.

        Returns earlier if ``is_worth_keeping`` returns False.
        """
        try:
            while not self.is_terminated:
                has_input = self._receive()
                if not self.is_worth_keeping():
                    return
                self._process_events()
                if has_input:
                    # Lets the tasks of requests that just arrived write their data
                    # before the packets are built.
                    await asyncio.sleep(0)
                    self.wake_requested = bool(self.inbox)
                self._transmit()
                self._notify_progress()
                await self._wait_for_wake()
        finally:
            self.is_terminated = True
            self._cancel_timer()
            self._notify_progress()

    def flush(self) -> None:
        """Send pending datagrams immediately, for use when the task ends."""
        self._transmit()

    def _receive(self) -> bool:
        """Process datagrams and expired timers; return whether there were datagrams."""
        self.wake_requested = False
        now = self.loop.time()
        has_input = bool(self.inbox)
        if has_input:
            self.received_at = now
        while self.inbox:
            datagram, source = self.inbox.popleft()
            self.quic.receive_datagram(datagram, source, now=now)
        if self.timer_at is not None and self.timer_at <= now:
            self.quic.handle_timer(now=now)
        return has_input

    def _process_events(self) -> None:
        event = self.quic.next_event()
        while event is not None:
            if isinstance(event, ConnectionTerminated):
                self.is_terminated = True
            self.handle_event(event)
            event = self.quic.next_event()

    def _transmit(self) -> None:
        now = self.loop.time()
        for datagram, destination in self.quic.datagrams_to_send(now=now):
            self.send(datagram, destination)

    def _notify_progress(self) -> None:
        for future in list(self.progress_waiters):
            if not future.done():
                future.set_result(None)

    async def _wait_for_wake(self) -> None:
        if self.wake_requested or self.is_terminated:
            await asyncio.sleep(0)
            return
        self._schedule_timer()
        self.wake_future = self.loop.create_future()
        try:
            await self.wake_future
        finally:
            self.wake_future = None

    def _schedule_timer(self) -> None:
        """Schedule a wake-up at the connection's timer.

        The timer mostly moves to a later time, so an earlier wake-up is kept: one
        wake-up too many costs less than rescheduling after each packet.
        """
        self.timer_at = self.quic.get_timer()
        if self.timer_at is None:
            return
        if self.timer_handle is not None:
            if self.timer_handle.when() <= self.timer_at:
                return
            self.timer_handle.cancel()
        self.timer_handle = self.loop.call_at(self.timer_at, self._handle_timer)

    def _handle_timer(self) -> None:
        self.timer_handle = None
        self.wake()

    def _cancel_timer(self) -> None:
        if self.timer_handle is not None:
            self.timer_handle.cancel()
            self.timer_handle = None
