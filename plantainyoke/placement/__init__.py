"""Placement of new flows on targets.

A balancer ranks the services and targets of a route by the load that agents report.
The agent beside a target then admits or refuses the flow.
"""

from plantainyoke.placement._admission import (
    COLD_WINDOW_S,
    TARGET_SILENT_S,
    ColdStartLimiter,
    ColdStartTolerance,
    FlowAdmission,
)
from plantainyoke.placement._agents import AgentState, AgentTable
from plantainyoke.placement._choice import (
    is_mostly_cold,
    rank_services,
    rank_targets,
    select_by_rendezvous,
    select_idle_service,
)
from plantainyoke.placement._ejection_limit import apply_ejection_limit
from plantainyoke.placement._expected_time import (
    measure_imbalance,
    rank_by_expected_time,
)
from plantainyoke.placement._waiting import WaitingFlow, WaitingRoom
from plantainyoke.placement._work_time import WorkTimeEstimator

__all__ = [
    "COLD_WINDOW_S",
    "TARGET_SILENT_S",
    "ColdStartLimiter",
    "ColdStartTolerance",
    "FlowAdmission",
    "AgentState",
    "AgentTable",
    "WaitingFlow",
    "WaitingRoom",
    "WorkTimeEstimator",
    "apply_ejection_limit",
    "rank_services",
    "select_by_rendezvous",
    "is_mostly_cold",
    "select_idle_service",
    "rank_targets",
    "rank_by_expected_time",
    "measure_imbalance",
]
