"""Library for programs that call services over QUIC and HTTP/3.

A ``Session`` sends requests and watches events. It replaces connections that close,
go silent or receive GOAWAY. A request that is not idempotent runs at most once.
"""

from plantainyoke.caller._connection import CallerConnection
from plantainyoke.caller._errors import (
    AnswerCutError,
    AnswerNotKeptError,
    CallerError,
    ConnectError,
    KeyReusedError,
    OutcomeUnknownError,
    RefusedError,
)
from plantainyoke.caller._options import SessionOptions
from plantainyoke.caller._session import Session
from plantainyoke.caller._stream import CallerAnswer, Event

__all__ = [
    "AnswerCutError",
    "AnswerNotKeptError",
    "CallerAnswer",
    "CallerConnection",
    "CallerError",
    "ConnectError",
    "Event",
    "KeyReusedError",
    "OutcomeUnknownError",
    "RefusedError",
    "Session",
    "SessionOptions",
]
