"""What the processes know of each other without electing anyone."""

from plantainyoke.membership._detector import (
    Belief,
    FailureDetector,
    Observation,
    plan_watchers,
)
from plantainyoke.membership._distribution import DistributionRole, plan_distribution
from plantainyoke.membership._gossip import GossipQueue

__all__ = [
    "Belief",
    "DistributionRole",
    "FailureDetector",
    "GossipQueue",
    "Observation",
    "plan_distribution",
    "plan_watchers",
]
