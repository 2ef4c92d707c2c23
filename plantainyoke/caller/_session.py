"""A standing line of a caller that outlives any one connection."""

import asyncio
import random
import uuid
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass

from plantainyoke.caller._connection import CallerConnection
from plantainyoke.caller._errors import (
    AnswerCutError,
    CallerError,
    ConnectError,
    ConnectionLostError,
    OutcomeUnknownError,
    RefusedError,
)
from plantainyoke.caller._stream import CallerAnswer, Event, Headers, ResponseStream
from plantainyoke.limits import RetryBudget, full_jitter_backoff
from plantainyoke.telemetry import Metrics
from plantainyoke.wire import Address

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
CONNECT_TIMEOUT_S = 1.2
CONNECT_ATTEMPTS = 4
MAX_ATTEMPTS = 5
SECONDS_TO_MS = 1000


@dataclass(frozen=True, slots=True)
class SessionOptions:
    """How a session connects.

    Attributes
    ----------
    server_name : str
        Name in the service's certificate.
    certificate_authority : str
        Path of a PEM file.
    """

    server_name: str
    certificate_authority: str


@dataclass(slots=True)
class OutgoingRequest:
    """One request of a session and where it was sent so far.

    Attributes
    ----------
    sent_at : float
        Loop time of the first send, 0 before it.
    sent_on : CallerConnection, optional
        The connection that may have run it.
    """

    method: str
    path: str
    body: bytes
    headers: Headers
    key: str
    deadline: float
    sent_at: float = 0.0
    sent_on: CallerConnection | None = None

    @property
    def is_idempotent(self) -> bool:
        """Whether running it twice is harmless."""
        return self.method in IDEMPOTENT_METHODS


class Session:
    """Sends requests and watches events through any number of connections.

    Parameters
    ----------
    address : Address
        Service address.
    options : SessionOptions
    rng : random.Random, default=None
        Jitter of the backoff.
    on_connection_end : callable, default=None
        Called with ``(connection, cause)`` when the session leaves a
        connection; the cause is ``"moved"``, ``"lost"`` or ``"silent"``.

    Examples
    --------
    >>> async def order(address, options):
    ...     async with Session(address, options) as session:
    ...         return await session.request("POST", "/orders", body=b"span 7")
    """

    def __init__(
        self,
        address: Address,
        options: SessionOptions,
        *,
        rng: random.Random | None = None,
        on_connection_end: Callable[[CallerConnection, str], None] | None = None,
    ) -> None:
        self.address = address
        self.options = options
        self.rng = rng or random.Random()
        self.on_connection_end = on_connection_end
        self.id = uuid.uuid4().hex
        self.epoch = 0
        self.metrics = Metrics()
        self.budget = RetryBudget()
        self.loop = asyncio.get_running_loop()
        self.current: CallerConnection | None = None
        self.retired: set[CallerConnection] = set()
        self.opening = asyncio.Lock()
        self.reaping: set[asyncio.Task] = set()

    async def __aenter__(self) -> "Session":
        return self

    async def __aexit__(self, *details) -> None:
        await self.aclose()

    async def aclose(self) -> None:
        """Close every connection."""
        for task in list(self.reaping):
            task.cancel()
        connections = [*self.retired]
        if self.current is not None:
            connections.append(self.current)
        await asyncio.gather(*(item.aclose() for item in connections))

    async def request(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Headers | None = None,
        key: str | None = None,
        timeout_s: float = 10.0,
    ) -> CallerAnswer:
        """Send a request and return its whole answer.

        Parameters
        ----------
        method, path : str
        body : bytes, default=b""
        headers : list of (bytes, bytes), default=None
        key : str, default=None
            Idempotency key; a random one for methods that are not idempotent.
        timeout_s : float, default=10.0

        Raises
        ------
        ConnectError, RefusedError, KeyReusedError
            The request did not run.
        OutcomeUnknownError
            It may have run. A request that is not idempotent is never sent
            again once it may have run.
        AnswerNotKeptError
            It ran and its answer is gone.
        AnswerCutError
            An idempotent request's answers were cut short.
        """
        if key is None:
            key = "" if method in IDEMPOTENT_METHODS else uuid.uuid4().hex
        request = OutgoingRequest(
            method,
            path,
            body,
            list(headers or ()),
            key,
            self.loop.time() + timeout_s,
        )
        self.budget.record_request()
        return await self._attempt(request)

    async def watch(
        self, path: str, *, last_event_id: str = ""
    ) -> AsyncIterator[Event]:
        """Yield the events of a stream, each once and in order.

        Moves to another connection when the agent asks to or the path breaks,
        and goes on after the last event that was yielded.
        """
        connection: CallerConnection | None = None
        stream: ResponseStream | None = None
        attempt = 0
        try:
            while True:
                try:
                    if stream is None or connection.retiring.is_set():
                        connection, stream = await self._move_watch(
                            path, last_event_id, connection, stream
                        )
                    event = await self._next_event(connection, stream)
                except (ConnectionLostError, ConnectError, RefusedError) as error:
                    self.metrics.count(f"watch.{type(error).__name__}")
                    await self._back_off(attempt, error)
                    attempt += 1
                    stream = None
                    continue
                if event is not None:
                    attempt = 0
                    last_event_id = event.id or last_event_id
                    yield event
        finally:
            if stream is not None:
                connection.cancel(stream)

    async def connection(self) -> CallerConnection:
        """Return a usable connection, opening one if needed.

        Raises
        ------
        ConnectError
        """
        async with self.opening:
            if self.current is not None and self.current.is_usable:
                return self.current
            replacement = await self._open_any()
            self._retire_current()
            self.current = replacement
            return replacement

    async def _attempt(self, request: OutgoingRequest) -> CallerAnswer:
        for attempt in range(MAX_ATTEMPTS):
            try:
                return await self._send_once(request)
            except RefusedError as error:
                reason = f"refused.{error.reason}"
                await self._prepare_retry(request, attempt, error, reason)
            except ConnectError as error:
                await self._prepare_retry(request, attempt, error, "connect")
            except (AnswerCutError, ConnectionLostError, OutcomeUnknownError) as error:
                if not request.is_idempotent:
                    raise _as_unknown(error) from error
                name = type(error).__name__
                await self._prepare_retry(request, attempt, error, name)
        raise AssertionError("the last attempt raises")

    async def _prepare_retry(self, request, attempt: int, error, reason: str) -> None:
        """Wait before the next attempt, or raise if there is none."""
        is_last = attempt + 1 >= MAX_ATTEMPTS
        out_of_time = self.loop.time() >= request.deadline
        if is_last or out_of_time or not self.budget.try_spend():
            self.metrics.count("retry.given_up")
            if isinstance(error, ConnectionLostError):
                raise _as_unknown(error) from error
            raise error
        self.metrics.count(f"retry.{reason}")
        await self._back_off(attempt, error)

    async def _back_off(self, attempt: int, error: CallerError) -> None:
        minimum_s = getattr(error, "retry_after_s", 0.0)
        await asyncio.sleep(full_jitter_backoff(attempt, self.rng, minimum_s=minimum_s))

    async def _send_once(self, request: OutgoingRequest) -> CallerAnswer:
        connection = await self.connection()
        try:
            return await self._exchange(connection, request)
        except ConnectionLostError:
            if request.is_idempotent:
                raise
            return await self._resume(request, connection)

    async def _exchange(
        self, connection: CallerConnection, request: OutgoingRequest, *, resumes=False
    ) -> CallerAnswer:
        """Send on one connection and wait until the answer or its loss."""
        now = self.loop.time()
        if now >= request.deadline:
            raise OutcomeUnknownError("timeout") if resumes else RefusedError("timeout")
        headers = self._build_headers(connection, request, resumes)
        if not request.sent_at:
            request.sent_at = now
        request.sent_on = connection
        stream = connection.send_request(headers, request.body)
        try:
            async with asyncio.timeout_at(request.deadline):
                return await _first_of(stream.wait_answer(), connection.silent)
        except TimeoutError:
            raise OutcomeUnknownError("timeout") from None
        finally:
            if not connection.silent.is_set():
                connection.cancel(stream)

    async def _resume(
        self, request: OutgoingRequest, lost: CallerConnection
    ) -> CallerAnswer:
        """Ask the same agent for the outcome on a new connection."""
        self.metrics.count("request.resumed")
        incarnation = lost.incarnation
        for attempt in range(CONNECT_ATTEMPTS):
            if self.loop.time() >= request.deadline:
                break
            try:
                connection = await self._open(token=lost.token)
            except ConnectError:
                await self._back_off(attempt, ConnectError())
                continue
            if connection.incarnation != incarnation:
                await connection.aclose()
                raise OutcomeUnknownError("agent_restarted")
            self._retire_current()
            self.current = connection
            try:
                return await self._exchange(connection, request, resumes=True)
            except ConnectionLostError:
                continue
            except RefusedError as error:
                if error.reason == "fenced":
                    raise OutcomeUnknownError("fenced") from error
                raise
        raise OutcomeUnknownError("agent_unreachable")

    def _build_headers(self, connection, request, resumes: bool) -> Headers:
        now = self.loop.time()
        remaining_ms = max(1, round((request.deadline - now) * SECONDS_TO_MS))
        headers = self._common_headers(connection, request.method, request.path)
        headers.append((b"request-timeout-ms", str(remaining_ms).encode()))
        if request.key:
            headers.append((b"idempotency-key", request.key.encode()))
        if request.body:
            length = str(len(request.body)).encode()
            headers.append((b"content-length", length))
        if resumes:
            age_ms = int((now - request.sent_at) * SECONDS_TO_MS) + 1
            value = f"{connection.incarnation};age={age_ms}"
            headers.append((b"plantainyoke-resume", value.encode()))
        return headers + request.headers

    def _common_headers(self, connection, method: str, path: str) -> Headers:
        return [
            (b":method", method.encode()),
            (b":scheme", b"https"),
            (b":authority", self.options.server_name.encode()),
            (b":path", path.encode()),
            (
                b"plantainyoke-session",
                f"{self.id};epoch={connection.epoch}".encode(),
            ),
        ]

    async def _open_any(self) -> CallerConnection:
        for attempt in range(CONNECT_ATTEMPTS):
            try:
                return await self._open()
            except ConnectError:
                self.metrics.count("connect.failed")
                if attempt + 1 == CONNECT_ATTEMPTS:
                    raise
        raise AssertionError("the last attempt raises")

    async def _open(self, *, token: bytes = b"") -> CallerConnection:
        self.epoch += 1
        connection = CallerConnection(
            self.address,
            server_name=self.options.server_name,
            certificate_authority=self.options.certificate_authority,
            epoch=self.epoch,
            token=token,
        )
        await connection.open(CONNECT_TIMEOUT_S)
        self.metrics.count("connect.opened")
        return connection

    def _retire_current(self) -> None:
        """Close the current connection once its requests have ended."""
        if self.current is None:
            return
        cause = _end_cause(self.current)
        self.metrics.count(f"connection.{cause}")
        if self.on_connection_end is not None:
            self.on_connection_end(self.current, cause)
        self.retired.add(self.current)
        task = self.loop.create_task(self._reap(self.current))
        self.reaping.add(task)
        task.add_done_callback(self.reaping.discard)
        self.current = None

    async def _reap(self, connection: CallerConnection) -> None:
        while connection.streams and not connection.lost.is_set():
            if connection.silent.is_set():
                break
            await asyncio.sleep(0.05)
        self.retired.discard(connection)
        await connection.aclose()

    async def _move_watch(self, path: str, last_event_id: str, old, old_stream):
        """Open the stream on a usable connection before leaving the old one."""
        connection = await self.connection()
        headers = self._common_headers(connection, "GET", path)
        headers.append((b"accept", b"text/event-stream"))
        if last_event_id:
            headers.append((b"last-event-id", last_event_id.encode()))
        stream = connection.send_request(headers, b"", is_watch=True)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await _first_of(stream.wait_head(), connection.silent)
        except TimeoutError:
            connection.cancel(stream)
            raise ConnectionLostError from None
        if old_stream is not None:
            self.metrics.count("watch.moved")
            old.cancel(old_stream)
        return connection, stream

    async def _next_event(self, connection, stream) -> Event | None:
        """Return the next event, None if the agent asked to move."""
        waiting = self.loop.create_task(stream.next_event())
        watches = [
            self.loop.create_task(event.wait())
            for event in (connection.retiring, connection.silent)
        ]
        try:
            await asyncio.wait([waiting, *watches], return_when=asyncio.FIRST_COMPLETED)
            if waiting.done():
                return waiting.result()
            if connection.silent.is_set():
                raise ConnectionLostError
            return None
        finally:
            for task in (waiting, *watches):
                task.cancel()


async def _first_of(awaitable: Awaitable, silent: asyncio.Event):
    """Return the awaitable's result unless the path goes silent first."""
    loop = asyncio.get_running_loop()
    answer = loop.create_task(awaitable)
    silence = loop.create_task(silent.wait())
    try:
        await asyncio.wait([answer, silence], return_when=asyncio.FIRST_COMPLETED)
        if answer.done():
            return answer.result()
        raise ConnectionLostError
    finally:
        answer.cancel()
        silence.cancel()


def _end_cause(connection: CallerConnection) -> str:
    if connection.retiring.is_set():
        return "moved"
    return "lost" if connection.lost.is_set() else "silent"


def _as_unknown(error: CallerError) -> CallerError:
    if isinstance(error, OutcomeUnknownError):
        return error
    return OutcomeUnknownError(type(error).__name__)
