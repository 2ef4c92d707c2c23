"""Parses the headers of an HTTP/3 stream into a request.

Reads the headers that callers address to the agent (idempotency key, timeout, session,
resume) and removes those that must not reach the upstream.
"""

from dataclasses import dataclass, field

from plantainyoke.agent._messages import Headers, Request, ResumeQuery
from plantainyoke.agent._upstream import HOP_BY_HOP_HEADERS, RESERVED_HEADER_PREFIX

SECONDS_TO_MS = 1000
KEY_HEADER = b"idempotency-key"
TIMEOUT_HEADER = b"request-timeout-ms"
SESSION_HEADER = b"plantainyoke-session"
RESUME_HEADER = b"plantainyoke-resume"
CONSUMED_HEADERS = frozenset({KEY_HEADER, TIMEOUT_HEADER, b"host"})
MAX_KEY_BYTES = 200
MAX_DIGITS = 20  # of an integer of 64 bits


class MalformedRequestError(Exception):
    """A header of the request is not valid."""


@dataclass
class PartialRequest:
    """A request whose body is not complete yet."""

    headers: Headers
    body: bytearray = field(default_factory=bytearray)


def parse_session(headers: Headers) -> tuple[bytes, int] | None:
    """Parse ``session;epoch=number``.

    Returns
    -------
    tuple of (bytes, int) or None
        Session and epoch, None if the request names no session.

    Raises
    ------
    MalformedRequestError
    """
    value = dict(headers).get(SESSION_HEADER)
    if value is None:
        return None
    session, separator, epoch = value.partition(b";epoch=")
    if not separator:
        raise MalformedRequestError
    return session, _parse_number(epoch)


def parse_resume(headers: Headers, connected_at: float) -> ResumeQuery | None:
    """Parse ``incarnation;age=milliseconds``.

    The age is the time from the first send to the resumed one. The resumed request was
    not sent before its connection began, so the first was not sent before that time
    minus the age.

    Parameters
    ----------
    headers : list of (bytes, bytes)
    connected_at : float
        Loop time of the connection's first datagram.

    Returns
    -------
    ResumeQuery or None
        None if the request is sent for the first time.

    Raises
    ------
    MalformedRequestError
    """
    value = dict(headers).get(RESUME_HEADER)
    if value is None:
        return None
    incarnation, separator, age = value.partition(b";age=")
    if not separator:
        raise MalformedRequestError
    sent_after = connected_at - _parse_number(age) / SECONDS_TO_MS
    return ResumeQuery(_parse_number(incarnation), sent_after)


def build_request(
    partial: PartialRequest,
    resume: ResumeQuery | None,
    *,
    now: float,
    max_timeout_s: float,
) -> Request:
    """Return the request of a complete stream.

    Parameters
    ----------
    partial : PartialRequest
    resume : ResumeQuery or None
    now : float
        Current loop time.
    max_timeout_s : float
        Longest time that the service allows for a request.

    Returns
    -------
    Request

    Raises
    ------
    MalformedRequestError
    """
    headers = dict(partial.headers)
    key = headers.get(KEY_HEADER, b"")
    if len(key) > MAX_KEY_BYTES:
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
        deadline=now + _parse_timeout(headers.get(TIMEOUT_HEADER), max_timeout_s),
        key=key.decode("latin-1"),
        resume=resume,
    )


def _is_forwarded(name: bytes) -> bool:
    return not (
        name.startswith(b":")
        or name in CONSUMED_HEADERS
        or name.decode("latin-1") in HOP_BY_HOP_HEADERS
        or name.startswith(RESERVED_HEADER_PREFIX.encode())
    )


def _parse_timeout(value: bytes | None, max_timeout_s: float) -> float:
    if value is None:
        return max_timeout_s
    return min(_parse_number(value) / SECONDS_TO_MS, max_timeout_s)


def _parse_number(text: bytes) -> int:
    """Return a number that fits into 64 bits.

    Raises
    ------
    MalformedRequestError
    """
    if not text.isdigit() or len(text) > MAX_DIGITS:
        raise MalformedRequestError
    number = int(text)
    if number >= 1 << 64:
        raise MalformedRequestError
    return number
