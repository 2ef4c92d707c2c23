"""Which target gets a new flow."""

from plantainyoke.placement._choice import (
    choose_service,
    draw_targets,
    is_mostly_cold,
    prefer_idle_service,
    rank_targets,
)
from plantainyoke.placement._gate import ColdAllowance, ColdTolerance, Gate
from plantainyoke.placement._pace import WorkPace
from plantainyoke.placement._peers import Peer, PeerTable

__all__ = [
    "ColdAllowance",
    "ColdTolerance",
    "Gate",
    "Peer",
    "PeerTable",
    "WorkPace",
    "choose_service",
    "draw_targets",
    "is_mostly_cold",
    "prefer_idle_service",
    "rank_targets",
]
