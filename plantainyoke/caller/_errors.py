"""Errors of a caller's requests.

They separate requests that did not run, that ran and that may have run, because only
the first can be sent again without the risk of running twice.
"""

from dataclasses import dataclass


class CallerError(Exception):
    """Base class: a request ended without a complete answer."""


class ConnectError(CallerError):
    """No connection could be opened; the request did not run."""


@dataclass
class RefusedError(CallerError):
    """The request did not run.

    Attributes
    ----------
    reason : str
        Reason that the agent or the session reports.
    retry_after_s : float
        Minimum delay before another attempt.
    """

    reason: str
    retry_after_s: float = 0.0

    def __str__(self) -> str:
        return f"not run: {self.reason}"


@dataclass
class OutcomeUnknownError(CallerError):
    """The request may have run.

    Attributes
    ----------
    cause : str
        Reason for which the outcome cannot be determined.
    """

    cause: str

    def __str__(self) -> str:
        return f"outcome unknown: {self.cause}"


class AnswerCutError(CallerError):
    """The answer ended early and was discarded."""


class AnswerNotKeptError(CallerError):
    """The request ran once, but the agent no longer has its answer."""


class KeyReusedError(CallerError):
    """The idempotency key belongs to another request; this one did not run."""


class ConnectionLostError(CallerError):
    """The connection ended or went silent before the answer was complete."""
