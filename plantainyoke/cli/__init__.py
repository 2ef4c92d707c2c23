"""The daemon and the command-line tool."""

from plantainyoke.cli.control import main as run_control
from plantainyoke.cli.daemon import main as run_daemon

__all__ = ["run_control", "run_daemon"]
