"""Subcommands that only read files or the state of running processes.

Each module has ``add_parser``, which registers the subcommand, and ``run``, which
executes it and returns the exit code.
"""

from plantainyoke.cli.queries import _check, _explain, _status

__all__ = ["QUERIES"]

QUERIES = (_check, _status, _explain)
