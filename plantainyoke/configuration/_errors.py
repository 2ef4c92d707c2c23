"""Failures of reading and publishing configuration."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FileProblem:
    """One fault in one file.

    Attributes
    ----------
    source : str
        File name.
    path : str
        Place inside the file, such as ``targets.2.zone`` or ``line 4``.
    problem : str
        What is wrong, on one line.
    """

    source: str
    path: str
    problem: str

    def __str__(self) -> str:
        place = f"{self.source}: {self.path}" if self.path else self.source
        return f"{place}: {self.problem}"


class ConfigurationError(Exception):
    """Configuration could not be read, built or applied."""


@dataclass
class InvalidFilesError(ConfigurationError):
    """Files with one or more faults."""

    problems: list[FileProblem]

    def __str__(self) -> str:
        return "\n".join(str(problem) for problem in self.problems)


@dataclass
class StaleGenerationError(ConfigurationError):
    """A build whose generation does not rise."""

    generation: int
    previous: int

    def __str__(self) -> str:
        return (
            f"generation {self.generation} does not rise above the previous "
            f"generation {self.previous}"
        )


@dataclass
class DocumentError(ConfigurationError):
    """A published document that cannot be accepted."""

    document: str
    problem: str

    def __str__(self) -> str:
        return f"{self.document}: {self.problem}"
