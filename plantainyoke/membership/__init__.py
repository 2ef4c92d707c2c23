"""Failure detection, gossip and distribution plans, without an elected leader.

Balancers probe agents and exchange suspicions by gossip, so that new flows avoid
failed agents and zones. Each process computes its part in probing and in the
distribution of configuration from the published host list.
"""

from plantainyoke.membership._detector import (
    AgentStatus,
    Evidence,
    FailureDetector,
)
from plantainyoke.membership._distribution import DistributionPlan, plan_distribution
from plantainyoke.membership._gossip import GossipQueue
from plantainyoke.membership._probe_assignment import select_probed_agents
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
