"""Failures of decoding messages."""

from dataclasses import dataclass


class WireError(Exception):
    """A message from another process could not be accepted."""


class AuthenticationError(WireError):
    """The authentication code does not match any configured key."""


class MalformedError(WireError):
    """The message is authentic but is not a known, complete message."""


@dataclass
class PayloadSizeError(MalformedError):
    """A payload is not as long as its message says."""

    stated: int
    actual: int

    def __str__(self) -> str:
        return f"payload of {self.actual} bytes instead of {self.stated}"
