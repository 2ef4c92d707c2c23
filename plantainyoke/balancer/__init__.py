"""The balancer of the QUIC path.

A balancer forwards callers' datagrams to agents and agents' datagrams to callers. It
keeps no state for each flow: a connection ID issued by an agent names that agent, and
the agent of a new flow follows from a hash.
"""

from plantainyoke.balancer._balancer import Balancer, start_balancer
from plantainyoke.balancer._steering import (
    DatagramSteering,
    Decision,
    DecisionReason,
    Drop,
)

__all__ = [
    "Balancer",
    "DatagramSteering",
    "Decision",
    "DecisionReason",
    "Drop",
    "start_balancer",
]
