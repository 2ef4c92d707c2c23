"""Findings of a check, each with the place of its cause."""

import msgspec

ERROR = "error"  # the entry is rejected or can never act
WARNING = "warning"  # accepted, but contradictory or with a loss for open flows
NOTICE = "notice"  # a difference without a loss

Place = tuple[str | int, ...]


class Finding(msgspec.Struct, frozen=True):
    """One result of a check.

    Attributes
    ----------
    code : str
        Kind of the finding, the same in all versions of the program.
    severity : {"error", "warning", "notice"}
    place : tuple of (str or int)
        Field names and positions that lead to the entry; empty for the whole input.
    text : str
        Description in one sentence. Text from the input is quoted in it.
    """

    code: str
    severity: str
    place: Place
    text: str


def format_place(place: Place) -> str:
    """Return a place as a path such as ``routes[3].prefix``."""
    path = ""
    for part in place:
        if isinstance(part, int):
            path += f"[{part}]"
        else:
            path += f".{part}" if path else part
    return path


def format_finding(source: str, finding: Finding) -> str:
    """Return a finding as one line of printable characters.

    Parameters
    ----------
    source : str
        File or process in which it was found.
    finding : Finding
    """
    parts = [source, format_place(finding.place), finding.text]
    line = ": ".join(part for part in parts if part)
    return escape_unprintable(f"{line} [{finding.severity} {finding.code}]")


def escape_unprintable(text: str) -> str:
    """Replace control characters, line separators and lone surrogates by escapes."""
    return "".join(
        character
        if character.isprintable()
        else character.encode("unicode_escape").decode("ascii")
        for character in text
    )
