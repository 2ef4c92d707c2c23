"""Failures of decoding messages."""


class WireError(Exception):
    """A message from another process could not be accepted."""


class AuthenticationError(WireError):
    """The authentication code does not match any configured key."""


class MalformedError(WireError):
    """The message is authentic but is not a known, complete message."""
