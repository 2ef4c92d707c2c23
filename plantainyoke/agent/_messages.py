"""Requests, answers and the errors that report how a request ended.

Also defines the sinks that answers are written to, since an answer may stream to a
caller, to a sibling agent or into a buffer.
"""

from dataclasses import dataclass, field
from typing import Protocol

Headers = list[tuple[bytes, bytes]]

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})
EVENT_STREAM = b"text/event-stream"


@dataclass(slots=True)
class ResumeQuery:
    """Origin of a request that is resumed after its first connection was lost.

    Attributes
    ----------
    incarnation : int
        Incarnation of the agent that the request was first sent to.
    sent_after : float
        Loop time; the request was not sent before it.
    """

    incarnation: int
    sent_after: float


@dataclass(slots=True)
class Request:
    """One request of a caller.

    Attributes
    ----------
    method, path : str
    headers : list of (bytes, bytes)
        Without pseudo-headers and hop-by-hop headers.
    body : bytes
    deadline : float
        Loop time after which the request is not started.
    key : str
        Idempotency key, empty if none.
    resume : ResumeQuery, optional
    is_relayed : bool
        Whether a sibling agent sent it; it is not relayed again.
    """

    method: str
    path: str
    headers: Headers
    body: bytes
    deadline: float
    key: str = ""
    resume: ResumeQuery | None = None
    is_relayed: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether the method allows running the request twice."""
        return self.method in IDEMPOTENT_METHODS

    @property
    def is_watch(self) -> bool:
        """Whether the request asks for an endless stream of events."""
        return any(
            name == b"accept" and value.startswith(EVENT_STREAM)
            for name, value in self.headers
        )


@dataclass(slots=True)
class Answer:
    """A complete answer."""

    status: int
    headers: Headers
    body: bytes = b""


class RequestError(Exception):
    """A request that did not end with an answer and may have run."""


@dataclass
class OutcomeUnknownError(RequestError):
    """It is not known whether the request ran.

    Attributes
    ----------
    cause : str
        Reported to the caller, such as ``timeout`` or ``agent_restarted``.
    """

    cause: str

    def __str__(self) -> str:
        return self.cause


class AnswerCutError(RequestError):
    """The upstream ended its answer early."""


class AnswerNotKeptError(RequestError):
    """The request ran, but its answer was too large to be kept."""


class KeyReusedError(RequestError):
    """The idempotency key belongs to another request; this one did not run."""


class Sink(Protocol):
    """Receives an answer in chunks.

    Attributes
    ----------
    is_started : bool
        Whether the status and headers were received.
    """

    is_started: bool

    async def start(self, status: int, headers: Headers) -> None:
        """Receive the status and headers."""

    async def write(self, data: bytes) -> None:
        """Receive a chunk of the body; wait while the receiver is slow."""

    async def finish(self, data: bytes = b"") -> None:
        """Receive the last chunk and the end of the body."""


@dataclass
class BufferSink:
    """Collects an answer in memory."""

    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    is_started: bool = False

    async def start(self, status: int, headers: Headers) -> None:
        """Store the status and headers."""
        self.is_started = True
        self.status = status
        self.headers = headers

    async def write(self, data: bytes) -> None:
        """Append a chunk of the body."""
        self.body += data

    async def finish(self, data: bytes = b"") -> None:
        """Append the last chunk of the body."""
        self.body += data

    def answer(self) -> Answer:
        """Return the collected answer."""
        return Answer(self.status, self.headers, bytes(self.body))


async def send_answer(answer: Answer, sink: Sink) -> None:
    """Write a complete answer to a sink."""
    await sink.start(answer.status, answer.headers)
    await sink.finish(answer.body)
