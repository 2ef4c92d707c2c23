"""Shared fixtures of the tests."""

import asyncio
import os
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

import looptime
import pytest
import uvloop
from hypothesis import settings

settings.register_profile(
    "deterministic", derandomize=True, deadline=None, database=None
)
settings.load_profile("deterministic")

FIRST_NETWORK = 32
NETWORKS = 200
_next_network = iter(range(10**6))


@pytest.fixture
def network_prefix() -> str:
    """Return two octets of loopback addresses that no other test uses now."""
    number = (os.getpid() * 7 + next(_next_network)) % NETWORKS
    return f"127.{FIRST_NETWORK + number}"


@pytest.fixture
def run_async() -> Callable[[Awaitable], object]:
    """Return a function that runs a coroutine on a fresh event loop."""
    return uvloop.run


def make_scenario_runner(
    run_async, create: Callable[[AsyncExitStack], Awaitable]
) -> Callable:
    """Return a function that plays a scenario in a world that a stack closes.

    Parameters
    ----------
    run_async : callable
        Runs a coroutine.
    create : callable
        Coroutine function that returns the world; called with the stack.
    """

    def run_scenario(scenario: Callable[[object], Awaitable]) -> None:
        async def main() -> None:
            async with AsyncExitStack() as stack:
                await scenario(await create(stack))

        run_async(main())

    return run_scenario


async def wait_until(condition: Callable[[], object], timeout_s: float = 3.0) -> None:
    """Wait until a condition holds.

    Raises
    ------
    TimeoutError
        If it does not hold in time.
    """
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.02)


def run_in_virtual_time(coroutine: Awaitable) -> object:
    """Run a coroutine on an event loop whose time passes at once."""
    loop = looptime.new_event_loop(start=0)
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()
