"""Requests of a session and the HTTP/3 headers that they are sent with."""

from dataclasses import dataclass

from plantainyoke.caller._stream import Headers

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
SECONDS_TO_MS = 1000


@dataclass(slots=True)
class OutgoingRequest:
    """Request of a session and its attempts so far.

    Attributes
    ----------
    method, path : str
    body : bytes
    headers : list of (bytes, bytes)
        Headers from the arguments of ``Session.request``.
    key : str
        Idempotency key, empty for none.
    deadline : float
        Loop time in seconds.
    first_sent_at : float
        Loop time of the first attempt in seconds, 0 before it.
    """

    method: str
    path: str
    body: bytes
    headers: Headers
    key: str
    deadline: float
    first_sent_at: float = 0.0

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.method in IDEMPOTENT_METHODS


@dataclass(frozen=True, slots=True)
class ConnectionContext:
    """Values in the headers of all requests of one connection.

    Attributes
    ----------
    server_name, session_id : str
    epoch : int
        Sequence number of the connection in its session.
    """

    server_name: str
    session_id: str
    epoch: int


def build_common_headers(context: ConnectionContext, method: str, path: str) -> Headers:
    """Return the headers that all requests have."""
    session = f"{context.session_id};epoch={context.epoch}"
    return [
        (b":method", method.encode()),
        (b":scheme", b"https"),
        (b":authority", context.server_name.encode()),
        (b":path", path.encode()),
        (b"plantainyoke-session", session.encode()),
    ]


def build_request_headers(
    context: ConnectionContext,
    request: OutgoingRequest,
    now: float,
    *,
    resume_incarnation: int | None = None,
) -> Headers:
    """Return the headers of a request.

    Parameters
    ----------
    context : ConnectionContext
    request : OutgoingRequest
    now : float
        Current loop time in seconds.
    resume_incarnation : int, default=None
        Incarnation of the agent that may have run the request, None unless an
        earlier attempt is resumed.
    """
    remaining_ms = max(1, round((request.deadline - now) * SECONDS_TO_MS))
    headers = build_common_headers(context, request.method, request.path)
    headers.append((b"request-timeout-ms", str(remaining_ms).encode()))
    if request.key:
        headers.append((b"idempotency-key", request.key.encode()))
    if request.body:
        headers.append((b"content-length", str(len(request.body)).encode()))
    if resume_incarnation is not None:
        # Rounded up, so that the agent never dates the first attempt too late.
        age_ms = int((now - request.first_sent_at) * SECONDS_TO_MS) + 1
        headers.append(
            (b"plantainyoke-resume", f"{resume_incarnation};age={age_ms}".encode())
        )
    return headers + request.headers
