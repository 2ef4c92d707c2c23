"""A layer-4 load balancer that keeps no flow state in its balancers."""

__all__ = ["__version__"]

__version__ = "0.1.0"
