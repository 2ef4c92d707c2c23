"""Answer to one request, received on one HTTP/3 stream.

Collects the headers and body, parses the events of a watch, and maps the outcome header
of an agent to the errors of this package.
"""

import asyncio
from dataclasses import dataclass, field

from plantainyoke.caller._errors import (
    AnswerCutError,
    AnswerNotKeptError,
    ConnectionLostError,
    KeyReusedError,
    OutcomeUnknownError,
    RefusedError,
)

Headers = list[tuple[bytes, bytes]]

OUTCOME_HEADER = b"plantainyoke-outcome"
KEY_REUSED_STATUS = 422


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """Complete answer to a request."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class Event:
    """Server-sent event of a watch."""

    id: str
    data: str


@dataclass
class ResponseStream:
    """Answer to one request while it is received.

    Attributes
    ----------
    stream_id : int
    is_watch : bool
        Whether the answer is an unbounded stream of events.
    status : int
        HTTP status, 0 before the headers arrive.
    headers : list of (bytes, bytes)
    body : bytearray
        Bytes received; those of events that were returned are removed.
    is_complete : bool
        Whether the stream ended without an error.
    error : Exception, optional
        Reason of an early end.
    progress : asyncio.Event
        Set when headers or data arrive or the stream ends.
    """

    stream_id: int
    is_watch: bool = False
    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    is_complete: bool = False
    error: Exception | None = None
    progress: asyncio.Event = field(default_factory=asyncio.Event)

    def receive_headers(self, headers: Headers) -> None:
        """Store the status and headers; ignore trailers."""
        if not self.status:
            self.status = int(dict(headers)[b":status"])
            self.headers = [pair for pair in headers if pair[0] != b":status"]
        self.progress.set()

    def receive_data(self, data: bytes) -> None:
        """Append a part of the body."""
        self.body += data
        self.progress.set()

    def end(self, error: Exception | None = None) -> None:
        """End the stream; it is complete if ``error`` is None."""
        if self.is_complete or self.error is not None:
            return
        self.error = error
        self.is_complete = error is None
        self.progress.set()

    @property
    def is_ended(self) -> bool:
        """Whether the stream has ended, complete or not."""
        return self.is_complete or self.error is not None

    async def wait_for_headers(self) -> None:
        """Wait for the status or the end of the stream.

        Raises
        ------
        Exception
            ``error``, if the stream ended early and without a status.
        """
        while not self.status and not self.is_ended:
            await self._wait_for_progress()
        if self.error is not None and not self.status:
            raise self.error

    async def wait_for_answer(self) -> CallerAnswer:
        """Wait for the complete answer.

        Raises
        ------
        CallerError
            If the answer is cut short or its outcome header reports an error.
        """
        while not self.is_ended:
            await self._wait_for_progress()
        if self.error is not None:
            raise self.error
        check_outcome(self.status, self.headers)
        self._check_length()
        return CallerAnswer(self.status, self.headers, bytes(self.body))

    async def next_event(self) -> Event:
        """Return the next event of a ``text/event-stream`` body.

        Raises
        ------
        CallerError
            If the stream ends.
        """
        while True:
            end = self.body.find(b"\n\n")
            if end >= 0:
                block = bytes(self.body[:end]).decode()
                del self.body[: end + 2]
                event = _parse_event(block)
                if event is not None:
                    return event
                continue
            if self.error is not None:
                raise self.error
            if self.is_complete:
                check_outcome(self.status, self.headers)
                raise ConnectionLostError
            await self._wait_for_progress()

    async def _wait_for_progress(self) -> None:
        await self.progress.wait()
        self.progress.clear()

    def _check_length(self) -> None:
        length = dict(self.headers).get(b"content-length")
        if length is not None and int(length) != len(self.body):
            raise AnswerCutError


def check_outcome(status: int, headers: Headers) -> None:
    """Raise the error that the outcome header of an answer reports, if any.

    Raises
    ------
    RefusedError, KeyReusedError
        The request did not run.
    AnswerNotKeptError
        The request ran, but the agent no longer has its answer.
    OutcomeUnknownError
        The request may have run.
    """
    fields = dict(headers)
    outcome = fields.get(OUTCOME_HEADER)
    if outcome is None:
        return
    details = fields.get(b"proxy-status", b"").decode()
    cause = details.partition('details="')[2].rstrip('"') or "unspecified"
    if outcome == b"not-run":
        if status == KEY_REUSED_STATUS:
            raise KeyReusedError
        raise RefusedError(cause, _parse_retry_after(fields.get(b"retry-after")))
    if outcome == b"ran":
        raise AnswerNotKeptError
    raise OutcomeUnknownError(cause)


def _parse_retry_after(value: bytes | None) -> float:
    try:
        return max(0.0, float(value)) if value is not None else 0.0
    except ValueError:
        return 0.0


def _parse_event(block: str) -> Event | None:
    event_id, data = "", []
    for line in block.splitlines():
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            event_id = value
        elif name == "data":
            data.append(value)
    return Event(event_id, "\n".join(data)) if data else None
