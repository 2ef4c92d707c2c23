"""Seeds that once failed, each with its cause."""

import tomllib
from dataclasses import dataclass
from pathlib import Path

CASES = Path(__file__).with_name("cases.toml")


@dataclass(frozen=True)
class Case:
    """A seed that once failed.

    Attributes
    ----------
    seed : int
    cause : str
    """

    seed: int
    cause: str


def load_cases() -> list[Case]:
    """Return all cases."""
    with CASES.open("rb") as stream:
        return [Case(**case) for case in tomllib.load(stream).get("case", [])]
