"""The ways in which a request of a caller can fail."""

from dataclasses import dataclass


class CallerError(Exception):
    """A request did not end with a whole answer."""


class ConnectError(CallerError):
    """No connection could be opened; the request did not run."""


@dataclass
class RefusedError(CallerError):
    """The request did not run.

    Attributes
    ----------
    reason : str
    retry_after_s : float
    """

    reason: str
    retry_after_s: float = 0.0

    def __str__(self) -> str:
        return f"not run: {self.reason}"


@dataclass
class OutcomeUnknownError(CallerError):
    """It is not known whether the request ran.

    Attributes
    ----------
    cause : str
    """

    cause: str

    def __str__(self) -> str:
        return f"outcome unknown: {self.cause}"


class AnswerCutError(CallerError):
    """The answer ended early and was discarded."""


class AnswerNotKeptError(CallerError):
    """The request ran once, but its answer can no longer be had."""


class KeyReusedError(CallerError):
    """The idempotency key belongs to another request; this one did not run."""


class ConnectionLostError(CallerError):
    """The connection ended or went silent before the answer was complete."""
