"""One request of a session and its headers."""

from dataclasses import dataclass

from plantainyoke.caller._connection import CallerConnection
from plantainyoke.caller._stream import Headers

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
SECONDS_TO_MS = 1000


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


@dataclass(frozen=True, slots=True)
class SessionLine:
    """What every request of one connection of a session names.

    Attributes
    ----------
    server_name, session_id : str
    epoch : int
        Number of the connection in its session.
    """

    server_name: str
    session_id: str
    epoch: int


def build_common_headers(line: SessionLine, method: str, path: str) -> Headers:
    """Return the headers that every request has."""
    session = f"{line.session_id};epoch={line.epoch}"
    return [
        (b":method", method.encode()),
        (b":scheme", b"https"),
        (b":authority", line.server_name.encode()),
        (b":path", path.encode()),
        (b"plantainyoke-session", session.encode()),
    ]


def build_request_headers(
    line: SessionLine,
    request: OutgoingRequest,
    now: float,
    *,
    resumed_at: int | None = None,
) -> Headers:
    """Return the headers of a request.

    Parameters
    ----------
    line : SessionLine
    request : OutgoingRequest
    now : float
        Current loop time.
    resumed_at : int, default=None
        Incarnation of the agent that may have run it, None on the first send.
    """
    remaining_ms = max(1, round((request.deadline - now) * SECONDS_TO_MS))
    headers = build_common_headers(line, request.method, request.path)
    headers.append((b"request-timeout-ms", str(remaining_ms).encode()))
    if request.key:
        headers.append((b"idempotency-key", request.key.encode()))
    if request.body:
        headers.append((b"content-length", str(len(request.body)).encode()))
    if resumed_at is not None:
        # Rounded up: the agent must not take the first send for later than it was.
        age_ms = int((now - request.sent_at) * SECONDS_TO_MS) + 1
        headers.append((b"plantainyoke-resume", f"{resumed_at};age={age_ms}".encode()))
    return headers + request.headers
