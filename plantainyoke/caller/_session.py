"""Session of a caller, independent of any single connection.

A session retries requests, resumes those whose connection was lost, and moves to a new
connection when the current one closes, goes silent or receives GOAWAY.
"""

import asyncio
import random
import uuid
from collections.abc import AsyncIterator, Callable

from plantainyoke.caller._connection import CallerConnection
from plantainyoke.caller._errors import (
    AnswerCutError,
    CallerError,
    ConnectError,
    ConnectionLostError,
    OutcomeUnknownError,
    RefusedError,
)
from plantainyoke.caller._options import SessionOptions
from plantainyoke.caller._request import (
    IDEMPOTENT_METHODS,
    ConnectionContext,
    OutgoingRequest,
    build_request_headers,
)
from plantainyoke.caller._silence import await_unless_silent
from plantainyoke.caller._stream import CallerAnswer, Event, Headers
from plantainyoke.caller._watch import Watch
from plantainyoke.limits import RetryBudget, draw_backoff_s
from plantainyoke.network import (
    Address,
)
from plantainyoke.telemetry import Metrics

CONNECT_TIMEOUT_S = 1.2
CONNECT_ATTEMPTS = 4
MAX_ATTEMPTS = 5


class Session:
    """Session that sends requests and watches events over a series of connections.

    Parameters
    ----------
    address : Address
        Service address.
    options : SessionOptions
    rng : random.Random, default=None
        Source of the backoff's jitter.
    on_connection_end : callable, default=None
        Called with ``(connection, cause)`` when the session replaces a
        connection. The cause is ``"moved"`` after GOAWAY, ``"lost"`` if the
        connection closed, or ``"silent"`` if its probes are unanswered.

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
        self.retry_budget = RetryBudget()
        self.loop = asyncio.get_running_loop()
        self.current_connection: CallerConnection | None = None
        self.retired: set[CallerConnection] = set()
        self.connect_lock = asyncio.Lock()
        self.closing_tasks: set[asyncio.Task] = set()

    async def __aenter__(self) -> "Session":
        return self

    async def __aexit__(self, *details) -> None:
        await self.aclose()

    async def aclose(self) -> None:
        """Close all connections, also those that still have requests."""
        for task in list(self.closing_tasks):
            task.cancel()
        connections = [*self.retired]
        if self.current_connection is not None:
            connections.append(self.current_connection)
        await asyncio.gather(*(connection.aclose() for connection in connections))

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
        """Send a request and return its complete answer.

        Parameters
        ----------
        method, path : str
        body : bytes, default=b""
        headers : list of (bytes, bytes), default=None
        key : str, default=None
            Idempotency key. By default, a random one for methods that are not
            idempotent and none for the others.
        timeout_s : float, default=10.0

        Raises
        ------
        ConnectError, RefusedError, KeyReusedError
            The request did not run.
        OutcomeUnknownError
            The request may have run. A request that is not idempotent is never
            sent again once it may have run.
        AnswerNotKeptError
            The request ran, but the agent no longer has its answer.
        AnswerCutError
            The request is idempotent, and the answer to its last attempt was cut
            short.
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
        self.retry_budget.record_request()
        return await self._send_with_retries(request)

    async def watch(
        self, path: str, *, last_event_id: str = ""
    ) -> AsyncIterator[Event]:
        """Yield the events of a stream, each once and in order.

        After GOAWAY or a lost connection, the watch continues on another
        connection after the last event that was yielded.

        Parameters
        ----------
        path : str
        last_event_id : str, default=""
            Event after which to start, empty for the events from now on.
        """
        watch = Watch(self, path, last_event_id)
        try:
            while True:
                event = await watch.next_event()
                if event is not None:
                    yield event
        finally:
            watch.close()

    async def get_connection(self) -> CallerConnection:
        """Return a usable connection, opening one if needed.

        Raises
        ------
        ConnectError
            If no attempt to connect succeeds.
        """
        async with self.connect_lock:
            if (
                self.current_connection is not None
                and self.current_connection.is_usable
            ):
                return self.current_connection
            replacement = await self._open_with_retries()
            self._retire_current()
            self.current_connection = replacement
            return replacement

    async def _send_with_retries(self, request: OutgoingRequest) -> CallerAnswer:
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
                    raise _to_outcome_unknown(error) from error
                name = type(error).__name__
                await self._prepare_retry(request, attempt, error, name)
        raise AssertionError("unreachable: the last attempt returns or raises")

    async def _prepare_retry(self, request, attempt: int, error, reason: str) -> None:
        """Wait before the next attempt, or raise ``error`` if there is none."""
        is_last = attempt + 1 >= MAX_ATTEMPTS
        is_past_deadline = self.loop.time() >= request.deadline
        if is_last or is_past_deadline or not self.retry_budget.try_acquire():
            self.metrics.count("retry.given_up")
            if isinstance(error, ConnectionLostError):
                raise _to_outcome_unknown(error) from error
            raise error
        self.metrics.count(f"retry.{reason}")
        await self.back_off(attempt, error)

    async def back_off(self, attempt: int, error: CallerError) -> None:
        """Wait before another attempt.

        The delay has jitter and is at least the Retry-After of ``error``.
        """
        minimum_s = getattr(error, "retry_after_s", 0.0)
        await asyncio.sleep(draw_backoff_s(attempt, self.rng, minimum_s=minimum_s))

    async def _send_once(self, request: OutgoingRequest) -> CallerAnswer:
        connection = await self.get_connection()
        try:
            return await self._exchange(connection, request)
        except ConnectionLostError:
            if request.is_idempotent:
                raise
            return await self._resume(request, connection)

    async def _exchange(
        self, connection: CallerConnection, request: OutgoingRequest, *, is_resume=False
    ) -> CallerAnswer:
        """Send a request on one connection and wait for its answer."""
        now = self.loop.time()
        if now >= request.deadline:
            raise (
                OutcomeUnknownError("timeout") if is_resume else RefusedError("timeout")
            )
        context = ConnectionContext(self.options.server_name, self.id, connection.epoch)
        headers = build_request_headers(
            context,
            request,
            now,
            resume_incarnation=connection.incarnation if is_resume else None,
        )
        if not request.first_sent_at:
            request.first_sent_at = now
        stream = connection.send_request(headers, request.body)
        try:
            async with asyncio.timeout_at(request.deadline):
                return await await_unless_silent(
                    stream.wait_for_answer(), connection.silent
                )
        except TimeoutError:
            raise OutcomeUnknownError("timeout") from None
        finally:
            if not connection.silent.is_set():
                connection.cancel(stream)

    async def _resume(
        self, request: OutgoingRequest, lost_connection: CallerConnection
    ) -> CallerAnswer:
        """Query the same agent for the outcome over a new connection."""
        self.metrics.count("request.resumed")
        incarnation = lost_connection.incarnation
        for attempt in range(CONNECT_ATTEMPTS):
            if self.loop.time() >= request.deadline:
                break
            try:
                connection = await self._open_connection(
                    routing_token=lost_connection.routing_token
                )
            except ConnectError:
                await self.back_off(attempt, ConnectError())
                continue
            if connection.incarnation != incarnation:
                await connection.aclose()
                raise OutcomeUnknownError("agent_restarted")
            self._retire_current()
            self.current_connection = connection
            try:
                return await self._exchange(connection, request, is_resume=True)
            except ConnectionLostError:
                continue
            except RefusedError as error:
                if error.reason == "fenced":
                    raise OutcomeUnknownError("fenced") from error
                raise
        raise OutcomeUnknownError("agent_unreachable")

    async def _open_with_retries(self) -> CallerConnection:
        for attempt in range(CONNECT_ATTEMPTS):
            try:
                return await self._open_connection()
            except ConnectError:
                self.metrics.count("connect.failed")
                if attempt + 1 == CONNECT_ATTEMPTS:
                    raise
        raise AssertionError("unreachable: the last attempt returns or raises")

    async def _open_connection(self, *, routing_token: bytes = b"") -> CallerConnection:
        self.epoch += 1
        connection = CallerConnection(
            self.address,
            server_name=self.options.server_name,
            certificate_authority=self.options.certificate_authority,
            epoch=self.epoch,
            routing_token=routing_token,
        )
        await connection.open(CONNECT_TIMEOUT_S)
        self.metrics.count("connect.opened")
        return connection

    def _retire_current(self) -> None:
        """Stop using the current connection; close it once its requests end."""
        if self.current_connection is None:
            return
        cause = _get_end_cause(self.current_connection)
        self.metrics.count(f"connection.{cause}")
        if self.on_connection_end is not None:
            self.on_connection_end(self.current_connection, cause)
        self.retired.add(self.current_connection)
        task = self.loop.create_task(self._close_when_drained(self.current_connection))
        self.closing_tasks.add(task)
        task.add_done_callback(self.closing_tasks.discard)
        self.current_connection = None

    async def _close_when_drained(self, connection: CallerConnection) -> None:
        while connection.streams and not connection.closed.is_set():
            if connection.silent.is_set():
                break
            await asyncio.sleep(0.05)
        self.retired.discard(connection)
        await connection.aclose()


def _get_end_cause(connection: CallerConnection) -> str:
    if connection.goaway_received.is_set():
        return "moved"
    return "lost" if connection.closed.is_set() else "silent"


def _to_outcome_unknown(error: CallerError) -> CallerError:
    if isinstance(error, OutcomeUnknownError):
        return error
    return OutcomeUnknownError(type(error).__name__)
