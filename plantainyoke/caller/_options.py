"""Options of a session."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SessionOptions:
    """Options for the connections of a session.

    Attributes
    ----------
    server_name : str
        Name that the certificate of the service must have.
    certificate_authority : str
        Path of a PEM file of trusted certificates.
    """

    server_name: str
    certificate_authority: str
