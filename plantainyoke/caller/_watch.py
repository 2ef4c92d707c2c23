"""A stream of events that outlives the connection it came on."""

import asyncio
from typing import Protocol

from plantainyoke.caller._connection import CallerConnection
from plantainyoke.caller._errors import (
    ConnectError,
    ConnectionLostError,
    RefusedError,
)
from plantainyoke.caller._options import SessionOptions
from plantainyoke.caller._request import SessionLine, build_common_headers
from plantainyoke.caller._silence import unless_silent
from plantainyoke.caller._stream import Event, ResponseStream
from plantainyoke.telemetry import Metrics

HEAD_TIMEOUT_S = 1.2


class WatchedSession(Protocol):
    """What a watch needs of its session."""

    id: str
    options: SessionOptions
    metrics: Metrics

    async def get_connection(self) -> CallerConnection:
        """Return the connection in use, opening one if there is none."""

    async def back_off(self, attempt: int, error: Exception) -> None:
        """Wait before the next attempt."""


class Watch:
    """One watch of a session.

    Parameters
    ----------
    session : WatchedSession
    path : str
    last_event_id : str
        Event after which to begin, empty for the present.
    """

    def __init__(self, session: WatchedSession, path: str, last_event_id: str) -> None:
        self.session = session
        self.path = path
        self.last_event_id = last_event_id
        self.connection: CallerConnection | None = None
        self.stream: ResponseStream | None = None
        self.attempt = 0

    async def next_event(self) -> Event | None:
        """Return the next event, None if the watch had to move or to wait."""
        try:
            if self.stream is None or self.connection.goaway_received.is_set():
                await self._move()
            event = await self._wait_event()
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
        """Give the watch up."""
        if self.stream is not None:
            self.connection.cancel(self.stream)

    async def _move(self) -> None:
        """Open the stream on a usable connection before leaving the old one."""
        connection = await self.session.get_connection()
        stream = connection.send_request(
            self._build_headers(connection), b"", is_watch=True
        )
        try:
            async with asyncio.timeout(HEAD_TIMEOUT_S):
                await unless_silent(stream.wait_head(), connection.silent)
        except TimeoutError:
            connection.cancel(stream)
            raise ConnectionLostError from None
        if self.stream is not None:
            self.session.metrics.count("watch.moved")
            self.connection.cancel(self.stream)
        self.connection, self.stream = connection, stream

    def _build_headers(self, connection: CallerConnection):
        line = SessionLine(
            self.session.options.server_name, self.session.id, connection.epoch
        )
        headers = build_common_headers(line, "GET", self.path)
        headers.append((b"accept", b"text/event-stream"))
        if self.last_event_id:
            headers.append((b"last-event-id", self.last_event_id.encode()))
        return headers

    async def _wait_event(self) -> Event | None:
        """Return the next event, None if the agent asked to move."""
        loop = asyncio.get_running_loop()
        waiting = loop.create_task(self.stream.next_event())
        goaway_received = loop.create_task(self.connection.goaway_received.wait())
        silent = loop.create_task(self.connection.silent.wait())
        tasks = (waiting, goaway_received, silent)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if waiting.done():
                return waiting.result()
            if self.connection.silent.is_set():
                raise ConnectionLostError
            return None
        finally:
            for task in tasks:
                task.cancel()
