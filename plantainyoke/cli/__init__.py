"""The daemon and the command-line tool."""

__all__ = ["run_control", "run_daemon"]


def run_control(arguments: list[str] | None = None) -> int:
    """Run ``plantainyokectl`` and return its exit code."""
    # Imported late, so that either program can also be run as a module.
    from plantainyoke.cli.control import main

    return main(arguments)


def run_daemon(arguments: list[str] | None = None) -> int:
    """Run ``plantainyoked`` and return its exit code."""
    from plantainyoke.cli.daemon import main

    return main(arguments)
