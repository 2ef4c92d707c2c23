"""Requests, answers and the ways in which a request can end."""

from dataclasses import dataclass, field
from typing import Protocol

Headers = list[tuple[bytes, bytes]]

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})
EVENT_STREAM = b"text/event-stream"


@dataclass(slots=True)
class ResumeQuery:
    """A question about a request that an earlier connection carried.

    Attributes
    ----------
    incarnation : int
        Incarnation of the agent that the request was first sent to.
    sent_after : float
        Loop time before which the request was not sent.
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
        """Whether running it twice is harmless."""
        return self.method in IDEMPOTENT_METHODS

    @property
    def is_watch(self) -> bool:
        """Whether it asks for a stream of events without an end."""
        return any(
            name == b"accept" and value.startswith(EVENT_STREAM)
            for name, value in self.headers
        )


@dataclass(slots=True)
class Answer:
    """A whole answer."""

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
    """Takes an answer piece by piece."""

    is_started: bool

    async def start(self, status: int, headers: Headers) -> None:
        """Take the status and headers."""

    async def write(self, data: bytes) -> None:
        """Take a piece of the body, waiting while the receiver is slow."""

    async def finish(self, data: bytes = b"") -> None:
        """Take the last piece and end the body."""


@dataclass
class BufferSink:
    """Collects an answer."""

    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    is_started: bool = False

    async def start(self, status: int, headers: Headers) -> None:
        """Take the status and headers."""
        self.is_started = True
        self.status = status
        self.headers = headers

    async def write(self, data: bytes) -> None:
        """Take a piece of the body."""
        self.body += data

    async def finish(self, data: bytes = b"") -> None:
        """Take the last piece of the body."""
        self.body += data

    def answer(self) -> Answer:
        """Return the collected answer."""
        return Answer(self.status, self.headers, bytes(self.body))


async def send_answer(answer: Answer, sink: Sink) -> None:
    """Write a whole answer to a sink."""
    await sink.start(answer.status, answer.headers)
    await sink.finish(answer.body)
