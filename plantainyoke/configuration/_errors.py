"""Errors in configuration files, builds and published documents."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FileProblem:
    """One error in a configuration file.

    Attributes
    ----------
    source : str
        File or directory, or ``build`` for an error in the built documents.
    location : str
        Location inside the file, such as ``targets.2.zone`` or ``line 4``; empty if
        the whole file is affected.
    problem : str
        Description of the error on one line.
    """

    source: str
    location: str
    problem: str

    def __str__(self) -> str:
        prefix = f"{self.source}: {self.location}" if self.location else self.source
        return f"{prefix}: {self.problem}"


class ConfigurationError(Exception):
    """Base class of errors in reading, building or applying configuration."""


@dataclass
class InvalidFilesError(ConfigurationError):
    """Configuration files are not valid; one line of text for each problem."""

    problems: list[FileProblem]

    def __str__(self) -> str:
        return "\n".join(str(problem) for problem in self.problems)


@dataclass
class StaleGenerationError(ConfigurationError):
    """The generation of a build is not above that of the previous build."""

    generation: int
    previous: int

    def __str__(self) -> str:
        return (
            f"generation {self.generation} does not rise above the previous "
            f"generation {self.previous}"
        )


@dataclass
class DocumentError(ConfigurationError):
    """A published document is missing, damaged or not valid."""

    document: str
    problem: str

    def __str__(self) -> str:
        return f"{self.document}: {self.problem}"
