"""Fixtures that the soak's tests share with the product's."""

from plantainyoke.conftest import network, run

__all__ = ["network", "run"]
