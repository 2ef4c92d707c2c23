"""``plantainyoked --settings FILE``: a process of the QUIC path.

Loads the settings file, starts the balancer or agent that it describes, and drains
it on SIGTERM or SIGINT. ``--check`` only validates the file.
"""

import argparse
import asyncio
import signal
import sys
from contextlib import AsyncExitStack
from pathlib import Path

import uvloop
from returns.result import Failure

from plantainyoke import __version__
from plantainyoke.agent import start_agent
from plantainyoke.balancer import start_balancer
from plantainyoke.cli._exit import EXIT_FAILURE, EXIT_SUCCESS
from plantainyoke.configuration import Settings, load_settings
from plantainyoke.telemetry import configure_logging, log_event

ROLE_STARTERS = {"balancer": start_balancer, "agent": start_agent}


def build_parser() -> argparse.ArgumentParser:
    """Return the command-line parser."""
    parser = argparse.ArgumentParser(
        prog="plantainyoked",
        description="Run a balancer or an agent of the QUIC path until SIGTERM, then "
        "drain and stop. `plantainyoked balancer` and `plantainyoked agent` run the "
        "packet path.",
    )
    parser.add_argument(
        "--settings",
        required=True,
        type=Path,
        metavar="FILE",
        help="YAML settings file of this process; see docs/operators/settings.md",
    )
    parser.add_argument(
        "--check", action="store_true", help="validate the settings and exit"
    )
    parser.add_argument(
        "--seed", type=int, help="seed of the random number generators, for tests"
    )
    parser.add_argument("--version", action="version", version=__version__)
    return parser


async def serve(settings: Settings, seed: int | None) -> None:
    """Run a balancer or an agent until SIGTERM or SIGINT, then drain it.

    A signal during the start cancels the start; there is nothing to drain then.
    """
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    async with AsyncExitStack() as stack:
        startup = loop.create_task(
            ROLE_STARTERS[settings.role](settings, stack, seed=seed)
        )
        stop_wait = loop.create_task(stop_requested.wait())
        await asyncio.wait([startup, stop_wait], return_when=asyncio.FIRST_COMPLETED)
        if not startup.done():
            startup.cancel()
            await asyncio.gather(startup, return_exceptions=True)
            return
        component = startup.result()
        await stop_wait
        await component.drain()


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon and return its exit code."""
    options = build_parser().parse_args(arguments)
    loaded = load_settings(options.settings)
    if isinstance(loaded, Failure):
        print(loaded.failure(), file=sys.stderr)
        return EXIT_FAILURE
    settings = loaded.unwrap()
    if options.check:
        print(f"{options.settings}: valid settings of {settings.role} {settings.name}")
        return EXIT_SUCCESS
    configure_logging(level=settings.log_level, process=settings.name)
    try:
        uvloop.run(serve(settings, options.seed))
    except (OSError, ValueError) as error:
        log_event("start_failed", error=str(error))
        return EXIT_FAILURE
    return EXIT_SUCCESS
