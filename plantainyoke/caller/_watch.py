"""Watch of an event stream that continues across connections.

After GOAWAY or a lost connection, the watch reopens the stream on another connection
and resumes it after the last event received.
"""

import asyncio
from typing import Protocol

from plantainyoke.caller._connection import CallerConnection
from plantainyoke.caller._errors import (
    ConnectError,
    ConnectionLostError,
    RefusedError,
)
from plantainyoke.caller._options import SessionOptions
from plantainyoke.caller._request import ConnectionContext, build_common_headers
from plantainyoke.caller._silence import await_unless_silent
from plantainyoke.caller._stream import Event, ResponseStream
from plantainyoke.telemetry import Metrics

HEADERS_TIMEOUT_S = 1.2


class WatchedSession(Protocol):
    """Interface of the session that a watch depends on."""

    id: str
    options: SessionOptions
    metrics: Metrics

    async def get_connection(self) -> CallerConnection:
        """Return a usable connection, opening one if needed."""

    async def back_off(self, attempt: int, error: Exception) -> None:
        """Wait before the next attempt."""


class Watch:
    """Event stream of a session.

    Parameters
    ----------
    session : WatchedSession
    path : str
    last_event_id : str
        Event after which to start, empty for the events from now on.
    """

    def __init__(self, session: WatchedSession, path: str, last_event_id: str) -> None:
        self.session = session
        self.path = path
        self.last_event_id = last_event_id
        self.connection: CallerConnection | None = None
        self.stream: ResponseStream | None = None
        self.attempt = 0

    async def next_event(self) -> Event | None:
        """Return the next event.

        Returns
        -------
        event : Event or None
            None after GOAWAY, or after a failure and its backoff; call again.
        """
        try:
            if self.stream is None or self.connection.goaway_received.is_set():
                await self._open_stream()
            event = await self._wait_for_event()
        except (ConnectionLostError, ConnectError, RefusedError) as error:
            self.session.metrics.count(f"watch.{type(error).__name__}")
            self.stream = None
            await self.session.back_off(self.attempt, error)
            self.attempt += 1
            return None
        if event is not None:
            self.attempt = 0
            self.last_event_id = event.id or self.last_event_id
        return event

    def close(self) -> None:
        """Cancel the stream."""
        if self.stream is not None:
            self.connection.cancel(self.stream)

    async def _open_stream(self) -> None:
        """Open the stream on a usable connection, then cancel the old stream."""
        connection = await self.session.get_connection()
        stream = connection.send_request(
            self._build_headers(connection), b"", is_watch=True
        )
        try:
            async with asyncio.timeout(HEADERS_TIMEOUT_S):
                await await_unless_silent(stream.wait_for_headers(), connection.silent)
        except TimeoutError:
            connection.cancel(stream)
            raise ConnectionLostError from None
        if self.stream is not None:
            self.session.metrics.count("watch.moved")
            self.connection.cancel(self.stream)
        self.connection, self.stream = connection, stream

    def _build_headers(self, connection: CallerConnection):
        context = ConnectionContext(
            self.session.options.server_name, self.session.id, connection.epoch
        )
        headers = build_common_headers(context, "GET", self.path)
        headers.append((b"accept", b"text/event-stream"))
        if self.last_event_id:
            headers.append((b"last-event-id", self.last_event_id.encode()))
        return headers

    async def _wait_for_event(self) -> Event | None:
        """Return the next event, None if the agent sends GOAWAY first."""
        loop = asyncio.get_running_loop()
        event_task = loop.create_task(self.stream.next_event())
        goaway_task = loop.create_task(self.connection.goaway_received.wait())
        silence_task = loop.create_task(self.connection.silent.wait())
        tasks = (event_task, goaway_task, silence_task)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if event_task.done():
                return event_task.result()
            if self.connection.silent.is_set():
                raise ConnectionLostError
            return None
        finally:
            for task in tasks:
                task.cancel()
