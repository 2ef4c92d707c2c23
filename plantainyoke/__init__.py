"""A layer-4 load balancer whose balancers keep no flow state.

The packet path forwards opaque packets, the QUIC path HTTP/3 connections. In both,
any balancer can forward any flow to the agent beside the target that holds it.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
