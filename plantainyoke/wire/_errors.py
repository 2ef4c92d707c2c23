"""Errors raised for messages that cannot be authenticated or decoded."""

from dataclasses import dataclass


class WireError(Exception):
    """A message from another process is invalid."""


class AuthenticationError(WireError):
    """The authentication code does not match any configured key."""


class MalformedError(WireError):
    """The message is of invalid size, or authentic but not known or not complete."""


@dataclass
class PayloadSizeError(MalformedError):
    """The length of a payload differs from the length stated in its message.

    Attributes
    ----------
    stated, actual : int
        Both lengths in bytes.
    """

    stated: int
    actual: int

    def __str__(self) -> str:
        return f"payload of {self.actual} bytes instead of {self.stated}"
