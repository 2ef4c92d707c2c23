"""The balancer role: forwards datagrams and keeps no flow state."""

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
