"""``plantainyoked --settings FILE``: a process of the QUIC path."""

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
    """Return the parser of the command line."""
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
        help="YAML settings of this process; see docs/operators/settings.md",
    )
    parser.add_argument(
        "--check", action="store_true", help="validate the settings and exit"
    )
    parser.add_argument(
        "--seed", type=int, help="seed of the random choices, for tests"
    )
    parser.add_argument("--version", action="version", version=__version__)
    return parser


async def serve(settings: Settings, seed: int | None) -> None:
    """Run a role until a signal, then drain it."""
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    async with AsyncExitStack() as stack:
        starting = loop.create_task(
            ROLE_STARTERS[settings.role](settings, stack, seed=seed)
        )
        waiting = loop.create_task(stopping.wait())
        await asyncio.wait([starting, waiting], return_when=asyncio.FIRST_COMPLETED)
        if not starting.done():
            starting.cancel()
            await asyncio.gather(starting, return_exceptions=True)
            return
        role = starting.result()
        await waiting
        await role.drain()


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
