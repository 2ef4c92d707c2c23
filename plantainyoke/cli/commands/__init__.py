"""Subcommands that write files, send requests or run a demo.

Each module has ``add_parser``, which registers the subcommand, and ``run``, which
executes it and returns the exit code.
"""

from plantainyoke.cli.commands import (
    _build,
    _demo,
    _demo_quic,
    _keys,
    _request,
    _watch,
)

__all__ = ["COMMANDS"]

COMMANDS = (_build, _keys, _request, _watch, _demo, _demo_quic)
