"""Fixtures that the soak's tests share with the product's."""

from plantainyoke.conftest import network_prefix, run_async

__all__ = ["network_prefix", "run_async"]
