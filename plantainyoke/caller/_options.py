"""Options of a caller's session."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SessionOptions:
    """How a session connects.

    Attributes
    ----------
    server_name : str
        Name in the service's certificate.
    certificate_authority : str
        Path of a PEM file.
    """

    server_name: str
    certificate_authority: str
