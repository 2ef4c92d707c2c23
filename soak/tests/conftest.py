"""Fixtures of the main test suite that the soak's tests use."""

from plantainyoke.conftest import network_prefix, run_async

__all__ = ["network_prefix", "run_async"]
