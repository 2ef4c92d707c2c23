"""What the processes know of each other without electing anyone."""

from plantainyoke.membership._detector import (
    Belief,
    FailureDetector,
    Observation,
)
from plantainyoke.membership._distribution import DistributionRole, plan_distribution
from plantainyoke.membership._failover_unit import ZoneSuspicions
from plantainyoke.membership._gossip import GossipQueue
from plantainyoke.membership._watchers import plan_watchers

__all__ = [
    "Belief",
    "DistributionRole",
    "FailureDetector",
    "GossipQueue",
    "Observation",
    "ZoneSuspicions",
    "plan_distribution",
    "plan_watchers",
]
