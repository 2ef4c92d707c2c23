"""One request of a caller on one HTTP/3 stream."""

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
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class Event:
    """One event of a watch."""

    id: str
    data: str


@dataclass
class ResponseStream:
    """The answer to one request as it arrives.

    Attributes
    ----------
    stream_id : int
    is_watch : bool
    progress : asyncio.Event
        Set whenever something arrived or the stream ended.
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
        """Take the status and headers; trailers are ignored."""
        if not self.status:
            self.status = int(dict(headers)[b":status"])
            self.headers = [pair for pair in headers if pair[0] != b":status"]
        self.progress.set()

    def receive_data(self, data: bytes) -> None:
        """Take a piece of the body."""
        self.body += data
        self.progress.set()

    def end(self, error: Exception | None = None) -> None:
        """End the stream, whole if ``error`` is None."""
        if self.is_complete or self.error is not None:
            return
        self.error = error
        self.is_complete = error is None
        self.progress.set()

    @property
    def is_ended(self) -> bool:
        """Whether nothing more arrives."""
        return self.is_complete or self.error is not None

    async def wait_head(self) -> None:
        """Wait for the status or the end of the stream."""
        while not self.status and not self.is_ended:
            await self._wait_progress()
        if self.error is not None and not self.status:
            raise self.error

    async def wait_answer(self) -> CallerAnswer:
        """Wait for the whole answer.

        Raises
        ------
        CallerError
        """
        while not self.is_ended:
            await self._wait_progress()
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
            await self._wait_progress()

    async def _wait_progress(self) -> None:
        await self.progress.wait()
        self.progress.clear()

    def _check_length(self) -> None:
        length = dict(self.headers).get(b"content-length")
        if length is not None and int(length) != len(self.body):
            raise AnswerCutError


def check_outcome(status: int, headers: Headers) -> None:
    """Raise the error that an agent's answer stands for, if it does."""
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
