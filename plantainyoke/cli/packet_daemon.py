"""``plantainyoked balancer`` and ``plantainyoked agent``: the packet path."""

import asyncio
import os
import signal
from contextlib import AsyncExitStack

import uvloop

from plantainyoke.cli._exit import EXIT_FAILURE, EXIT_SUCCESS
from plantainyoke.packet_node import PacketNode, ProcessSettings
from plantainyoke.platform import (
    PACKET_CODEC,
    PlatformReader,
    SettingsError,
    StoreUnavailableError,
    load_process_settings,
)
from plantainyoke.telemetry import configure_logging, log_event

ROLES = ("balancer", "agent")
SETTINGS_VARIABLE = "PLANTAINYOKE_CONFIG"
STANDARD_OUTPUT = 1


def build_parser():
    """Return the parser of the command line."""
    import argparse  # a program starts sooner without it

    parser = argparse.ArgumentParser(
        prog="plantainyoked",
        description="Run a balancer or an agent of the packet path until SIGTERM. The "
        f"path of its settings is in {SETTINGS_VARIABLE}.",
    )
    parser.add_argument("role", choices=ROLES)
    return parser


def build_role(role: str, node: PacketNode):
    """Return the program of a role; only its own modules are imported."""
    if role == "balancer":
        from plantainyoke.packet_balancer import PacketBalancer

        return PacketBalancer(node)
    from plantainyoke.packet_agent import PacketAgent

    return PacketAgent(node)


async def serve(role: str, settings: ProcessSettings) -> None:
    """Run a role until a signal, then drain it."""
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, reload_settings, settings)
    async with AsyncExitStack() as stack:
        reader = PlatformReader(settings.store_address)
        store_errors = (StoreUnavailableError,)
        node = PacketNode(settings, PACKET_CODEC, reader, store_errors, stack)
        program = build_role(role, node)
        starting = loop.create_task(program.start())
        waiting = loop.create_task(stopping.wait())
        await asyncio.wait([starting, waiting], return_when=asyncio.FIRST_COMPLETED)
        if starting.done():
            starting.result()
            await waiting
            await program.drain()
        else:
            starting.cancel()
            await asyncio.gather(starting, return_exceptions=True)
    log_event("stopped")


def reload_settings(settings: ProcessSettings) -> None:
    """Check the changed settings file; a running process keeps its addresses."""
    try:
        changed = load_process_settings(os.environ[SETTINGS_VARIABLE])
    except SettingsError as error:
        log_event("reload_failed", error=str(error))
        return
    log_event("reloaded", changed=changed != settings)


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon and return its exit code."""
    if arguments is not None and len(arguments) == 1 and arguments[0] in ROLES:
        role = arguments[0]
    else:
        role = build_parser().parse_args(arguments).role
    configure_logging(level="info", process=role, descriptor=STANDARD_OUTPUT)
    path = os.environ.get(SETTINGS_VARIABLE)
    try:
        if not path:
            raise SettingsError(f"{SETTINGS_VARIABLE} is not set")
        settings = load_process_settings(path)
    except SettingsError as error:
        log_event("settings_unusable", error=str(error))
        return EXIT_FAILURE
    configure_logging(level="info", process=settings.name, descriptor=STANDARD_OUTPUT)
    log_event("starting", role=role, first_start=settings.is_bootstrap)
    try:
        uvloop.run(serve(role, settings))
    except OSError as error:
        log_event("start_failed", error=str(error))
        return EXIT_FAILURE
    return EXIT_SUCCESS
