"""Shared fixtures of the tests."""

import os
from collections.abc import Awaitable, Callable

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
def network() -> str:
    """Return two octets of loopback addresses that no other test uses now."""
    number = (os.getpid() * 7 + next(_next_network)) % NETWORKS
    return f"127.{FIRST_NETWORK + number}"


@pytest.fixture
def run() -> Callable[[Awaitable], object]:
    """Return a function that runs a coroutine on a fresh event loop."""
    return uvloop.run


def run_virtual(coroutine: Awaitable) -> object:
    """Run a coroutine on an event loop whose time passes at once."""
    loop = looptime.new_event_loop(start=0)
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()
