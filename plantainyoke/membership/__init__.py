"""What the processes know of each other without electing anyone."""

from plantainyoke.membership._detector import (
    AgentStatus,
    Evidence,
    FailureDetector,
)
from plantainyoke.membership._distribution import DistributionPlan, plan_distribution
from plantainyoke.membership._gossip import GossipQueue
from plantainyoke.membership._watchers import select_probed_agents
from plantainyoke.membership._zone_detector import ZoneFailureDetector

__all__ = [
    "AgentStatus",
    "DistributionPlan",
    "Evidence",
    "FailureDetector",
    "GossipQueue",
    "ZoneFailureDetector",
    "plan_distribution",
    "select_probed_agents",
]
