"""Turns the headers of a stream into a request."""

from dataclasses import dataclass, field

from plantainyoke.agent._messages import Headers, Request, ResumeQuery
from plantainyoke.agent._upstream import HOP_BY_HOP, RESERVED_PREFIX

SECONDS_TO_MS = 1000
KEY_HEADER = b"idempotency-key"
TIMEOUT_HEADER = b"request-timeout-ms"
SESSION_HEADER = b"plantainyoke-session"
RESUME_HEADER = b"plantainyoke-resume"
CONSUMED_HEADERS = frozenset({KEY_HEADER, TIMEOUT_HEADER, b"host"})
MAX_KEY_SIZE = 200


class MalformedRequestError(Exception):
    """A header of the request is not valid."""


@dataclass
class PartialRequest:
    """A request whose body is still arriving."""

    headers: Headers
    body: bytearray = field(default_factory=bytearray)


def parse_session(headers: Headers) -> tuple[bytes, int] | None:
    """Read ``session;epoch=number``; None if the request names no session.

    Raises
    ------
    MalformedRequestError
    """
    value = dict(headers).get(SESSION_HEADER)
    if value is None:
        return None
    session, separator, epoch = value.partition(b";epoch=")
    if not separator or not epoch.isdigit():
        raise MalformedRequestError
    return session, int(epoch)


def parse_resume(headers: Headers, connected_at: float) -> ResumeQuery | None:
    """Read ``incarnation;age=milliseconds``; None if this is the first send.

    The caller can have asked no earlier than its connection began, so the
    request was sent no earlier than its age before that.

    Raises
    ------
    MalformedRequestError
    """
    value = dict(headers).get(RESUME_HEADER)
    if value is None:
        return None
    incarnation, separator, age = value.partition(b";age=")
    if not separator or not incarnation.isdigit() or not age.isdigit():
        raise MalformedRequestError
    return ResumeQuery(int(incarnation), connected_at - int(age) / SECONDS_TO_MS)


def build_request(
    partial: PartialRequest, resume: ResumeQuery | None, *, now: float, limit_s: float
) -> Request:
    """Return the request of a complete stream.

    Parameters
    ----------
    partial : PartialRequest
    resume : ResumeQuery or None
    now : float
        Current loop time.
    limit_s : float
        Longest time that the service allows for a request.

    Raises
    ------
    MalformedRequestError
    """
    headers = dict(partial.headers)
    key = headers.get(KEY_HEADER, b"")
    if len(key) > MAX_KEY_SIZE:
        raise MalformedRequestError
    try:
        method = headers[b":method"].decode("ascii")
        path = headers[b":path"].decode("ascii")
    except UnicodeDecodeError:
        raise MalformedRequestError from None
    return Request(
        method=method,
        path=path,
        headers=[pair for pair in partial.headers if _is_forwarded(pair[0])],
        body=bytes(partial.body),
        deadline=now + _parse_timeout(headers.get(TIMEOUT_HEADER), limit_s),
        key=key.decode("latin-1"),
        resume=resume,
    )


def _is_forwarded(name: bytes) -> bool:
    return not (
        name.startswith(b":")
        or name in CONSUMED_HEADERS
        or name.decode("latin-1") in HOP_BY_HOP
        or name.startswith(RESERVED_PREFIX.encode())
    )


def _parse_timeout(value: bytes | None, limit_s: float) -> float:
    if value is None:
        return limit_s
    if not value.isdigit():
        raise MalformedRequestError
    return min(int(value) / SECONDS_TO_MS, limit_s)
