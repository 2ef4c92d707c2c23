"""Runs one QUIC connection in one task."""

import asyncio
from collections import deque
from collections.abc import Callable

from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import ConnectionTerminated, QuicEvent

from plantainyoke.network import (
    Address,
)

MAX_INBOX = 512


class ConnectionDriver:
    """Feeds a connection with datagrams and timers and sends what it writes.

    Parameters
    ----------
    quic : QuicConnection
    send : callable
        Called with ``(datagram, destination)``.
    handle_event : callable
        Called with each QuicEvent.
    is_worth_keeping : callable, optional
        Tells after the first datagrams whether the connection is worth keeping.
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
        self.waiter: asyncio.Future | None = None
        self.alarm: asyncio.TimerHandle | None = None
        self.timer_at: float | None = None
        self.awake = False
        self.is_terminated = False
        self.received_at = self.loop.time()
        self.drained: set[asyncio.Future] = set()

    def receive_datagram(self, datagram: bytes, source: Address) -> bool:
        """Queue a received datagram; returns False if the inbox is full."""
        if len(self.inbox) >= MAX_INBOX:
            return False
        self.inbox.append((datagram, source))
        self.wake()
        return True

    def wake(self) -> None:
        """Let the task send what was written."""
        self.awake = True
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def wait_progress(self) -> None:
        """Wait until the connection has handled another round of input."""
        future = self.loop.create_future()
        self.drained.add(future)
        try:
            await future
        finally:
            self.drained.discard(future)

    async def run(self) -> None:
        """Drive the connection until it is terminated."""
        try:
            while not self.is_terminated:
                has_input = self._receive()
                if not self.is_worth_keeping():
                    return
                self._process_events()
                if has_input:
                    # Lets requests that just arrived write before the packets.
                    await asyncio.sleep(0)
                    self.awake = bool(self.inbox)
                self._transmit()
                self._notify_progress()
                await self._wait()
        finally:
            self.is_terminated = True
            self._cancel_alarm()
            self._notify_progress()

    def flush(self) -> None:
        """Send what is pending at once, for use when the task ends."""
        self._transmit()

    def _receive(self) -> bool:
        """Handle datagrams and due timers; return whether there were datagrams."""
        self.awake = False
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
        for future in list(self.drained):
            if not future.done():
                future.set_result(None)

    async def _wait(self) -> None:
        if self.awake or self.is_terminated:
            await asyncio.sleep(0)
            return
        self._set_alarm()
        self.waiter = self.loop.create_future()
        try:
            await self.waiter
        finally:
            self.waiter = None

    def _set_alarm(self) -> None:
        """Wake up at the connection's timer.

        Timers mostly move later, so an alarm that is early is kept: waking once
        too often costs less than replacing the alarm after each packet.
        """
        self.timer_at = self.quic.get_timer()
        if self.timer_at is None:
            return
        if self.alarm is not None:
            if self.alarm.when() <= self.timer_at:
                return
            self.alarm.cancel()
        self.alarm = self.loop.call_at(self.timer_at, self._ring)

    def _ring(self) -> None:
        self.alarm = None
        self.wake()

    def _cancel_alarm(self) -> None:
        if self.alarm is not None:
            self.alarm.cancel()
            self.alarm = None
