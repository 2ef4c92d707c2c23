"""Fixtures and helpers that the tests of several packages share.

Provides loopback addresses for each test, event loops in real and in virtual time,
and a runner for scenarios that need resources closed afterwards.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import AsyncExitStack

import looptime
import pytest
import uvloop
from hypothesis import settings

from plantainyoke.standins import reserve_network

settings.register_profile(
    "deterministic", derandomize=True, deadline=None, database=None
)
settings.load_profile("deterministic")


@pytest.fixture
def network_prefix() -> Iterator[str]:
    """Return the first two octets of loopback addresses for one test.

    No other test, demo or soak uses them meanwhile, in this process or another.
    """
    with reserve_network() as prefix:
        yield prefix


@pytest.fixture
def run_async() -> Callable[[Awaitable], object]:
    """Return a function that runs a coroutine on a fresh event loop."""
    return uvloop.run


def make_scenario_runner(
    run_async, create: Callable[[AsyncExitStack], Awaitable]
) -> Callable:
    """Return a function that runs a scenario with resources and closes them.

    Parameters
    ----------
    run_async : callable
        Runs a coroutine.
    create : callable
        Coroutine function that is called with an exit stack. It returns the object
        that the scenario receives and registers on the stack what must be closed.

    Returns
    -------
    callable
        Takes a scenario, a coroutine function of the created object, and runs it.
    """

    def run_scenario(scenario: Callable[[object], Awaitable]) -> None:
        async def main() -> None:
            async with AsyncExitStack() as stack:
                await scenario(await create(stack))

        run_async(main())

    return run_scenario


async def wait_until(condition: Callable[[], object], timeout_s: float = 3.0) -> None:
    """Wait until a condition holds.

    Parameters
    ----------
    condition : callable
        Polled until it returns a true value.
    timeout_s : float, default=3.0
        Seconds to wait.

    Raises
    ------
    TimeoutError
        If the condition does not hold in time.
    """
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.02)


def run_in_virtual_time(coroutine: Awaitable) -> object:
    """Run a coroutine on an event loop that skips waiting times.

    The clock of the loop starts at 0 and jumps to the next timer when the loop is idle.
    """
    loop = looptime.new_event_loop(start=0)
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()
