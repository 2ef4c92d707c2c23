"""Subcommands that only read."""

from plantainyoke.cli.queries import _check, _explain, _status

__all__ = ["QUERIES"]

QUERIES = (_check, _status, _explain)
