"""``plantainyoked balancer`` and ``plantainyoked agent``: processes of the packet path.

Loads the settings file, starts the program of the role, drains it on SIGTERM or
SIGINT, and checks the settings file again on SIGHUP.
"""

import asyncio
import gc
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
STDOUT_DESCRIPTOR = 1


def build_parser():
    """Return the command-line parser."""
    import argparse  # imported late, so that a process starts faster

    parser = argparse.ArgumentParser(
        prog="plantainyoked",
        description="Run a balancer or an agent of the packet path until SIGTERM. "
        f"{SETTINGS_VARIABLE} holds the path of the settings file.",
    )
    parser.add_argument("role", choices=ROLES)
    return parser


def create_program(role: str, node: PacketNode):
    """Return the program of a role.

    Only the modules of this role are imported, so that the process starts faster.
    """
    if role == "balancer":
        from plantainyoke.packet_balancer import PacketBalancer

        return PacketBalancer(node)
    from plantainyoke.packet_agent import PacketAgent

    return PacketAgent(node)


async def serve(role: str, settings: ProcessSettings) -> None:
    """Run the program of a role until SIGTERM or SIGINT, then drain it.

    A signal during the start cancels the start; there is nothing to drain then.
    """
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, reload_settings, settings)
    async with AsyncExitStack() as stack:
        reader = PlatformReader(settings.store_address)
        store_errors = (StoreUnavailableError,)
        node = PacketNode(settings, PACKET_CODEC, reader, store_errors, stack)
        program = create_program(role, node)
        gc.freeze()  # later collections skip the modules
        gc.enable()
        startup = loop.create_task(program.start())
        stop_wait = loop.create_task(stop_requested.wait())
        await asyncio.wait([startup, stop_wait], return_when=asyncio.FIRST_COMPLETED)
        if startup.done():
            startup.result()
            await stop_wait
            node.adopt_grace_period(read_settings_again(settings).grace_s)
            await program.drain()
        else:
            startup.cancel()
            await asyncio.gather(startup, return_exceptions=True)
    log_event("stopped")


def reload_settings(settings: ProcessSettings) -> None:
    """Check the settings file again and log whether it changed.

    The running process keeps its settings, since its sockets are bound to the
    addresses in them. Only the grace period is read again, when it stops.
    """
    try:
        changed = load_process_settings(os.environ[SETTINGS_VARIABLE])
    except SettingsError as error:
        log_event("reload_failed", error=str(error))
        return
    log_event("reloaded", changed=changed != settings)


def read_settings_again(settings: ProcessSettings) -> ProcessSettings:
    """Return the settings of the file now, those of the start if it is not valid."""
    try:
        return load_process_settings(os.environ[SETTINGS_VARIABLE])
    except SettingsError as error:
        log_event("reload_failed", error=str(error))
        return settings


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon and return its exit code."""
    if arguments is not None and len(arguments) == 1 and arguments[0] in ROLES:
        role = arguments[0]
    else:
        role = build_parser().parse_args(arguments).role
    configure_logging(level="info", process=role, descriptor=STDOUT_DESCRIPTOR)
    path = os.environ.get(SETTINGS_VARIABLE)
    try:
        if not path:
            raise SettingsError(f"{SETTINGS_VARIABLE} is not set")
        settings = load_process_settings(path)
    except SettingsError as error:
        log_event("settings_unusable", error=str(error))
        return EXIT_FAILURE
    configure_logging(level="info", process=settings.name, descriptor=STDOUT_DESCRIPTOR)
    log_event("starting", role=role, first_start=settings.is_bootstrap)
    try:
        uvloop.run(serve(role, settings))
    except OSError as error:
        log_event("start_failed", error=str(error))
        return EXIT_FAILURE
    return EXIT_SUCCESS
