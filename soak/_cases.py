"""Regression seeds of the soak, read from ``cases.toml``.

Each case is a seed that once failed, with the cause of its failure.
"""

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
        Why the seed failed.
    """

    seed: int
    cause: str


def load_cases() -> list[Case]:
    """Return all regression cases."""
    with CASES.open("rb") as stream:
        return [Case(**case) for case in tomllib.load(stream).get("case", [])]
