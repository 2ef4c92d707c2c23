"""Limit of the ejection of failing targets, as each balancer applies it.

Nothing here reads a clock: times are arguments.
"""

from collections.abc import Sequence

from plantainyoke.catalogue import Target
from plantainyoke.placement._agents import AgentTable

# Failing part of a service's targets above which the others could not take their load.
MAX_FAILING_SHARE = 0.4


def apply_ejection_limit(
    targets: Sequence[Target], *, agents: AgentTable, now: float
) -> bool:
    """Disregard failures of a service if too many of its targets fail.

    Load pattern: a fault behind the targets makes most of them fail at once. The few
    healthy ones, or none, would get the load of all, and callers would lose all
    requests instead of a part.

    Parameters
    ----------
    targets : sequence of Target
        Targets of one service that are eligible for new flows.
    agents : AgentTable
    now : float
        Current time in seconds.

    Returns
    -------
    bool
        Whether agents are to admit flows in spite of failures.
    """
    failing = [
        agent
        for target in targets
        if (agent := agents.get(target.host)).is_failing(now)
    ]
    ignores = len(failing) > len(targets) * MAX_FAILING_SHARE
    for agent in failing:
        agent.is_failing_ignored = ignores
    return ignores
