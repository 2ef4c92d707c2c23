"""The caller library: sessions that outlive their connections."""

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
