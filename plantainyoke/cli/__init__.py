"""Entry points of the daemon and of the command-line tool.

``plantainyoked`` runs a balancer or an agent; ``plantainyokectl`` checks and builds
configuration, queries running processes and calls services.
"""

__all__ = ["run_control", "run_daemon"]


def run_control(arguments: list[str] | None = None) -> int:
    """Run ``plantainyokectl`` and return its exit code."""
    # Imported late, so that either program can also be run with ``python -m``, which
    # warns if the package has already imported the module.
    from plantainyoke.cli.control import main

    return main(arguments)


def run_daemon(arguments: list[str] | None = None) -> int:
    """Run ``plantainyoked`` and return its exit code."""
    from plantainyoke.cli.daemon import main

    return main(arguments)
