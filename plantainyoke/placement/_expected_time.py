"""Choice of a target by the expected time to an answer.

Load pattern: targets of one service differ in speed, and flows carry many requests. A
choice by counts gives a slow target as many flows as a fast one, so that requests queue
at the slow one for the whole life of the flows.
"""

from collections.abc import Sequence
from math import log2

from plantainyoke.catalogue import Target
from plantainyoke.flows import FlowKey
from plantainyoke.placement._agents import AgentState, AgentTable
from plantainyoke.placement._choice import (
    IN_FLIGHT_WEIGHT,
    MAX_COMPARED_TARGETS,
    OTHER_ZONE_FACTOR,
    OTHER_ZONE_FLOWS,
    select_by_rendezvous,
)

# Steps of the relative service time, in powers of two. Smaller differences are mostly
# errors of the estimate: if they decided, every balancer would choose the same target.
SPEED_STEP = 0.5
MAX_SPEED_EXPONENT = 2.0  # a target that fails quickly looks at most 4 times as fast
WORK_TIME_HALF_LIFE_S = 4.0  # a target without answers gets flows again within seconds


def compute_relative_work_times(
    agents: Sequence[AgentState], now: float
) -> list[float]:
    """Return the service time of each agent's target relative to the median.

    An unknown service time counts as the median. A service time that has not changed
    for some time approaches the median: a slow target that gets no flows could not
    show otherwise that it has recovered.

    Parameters
    ----------
    agents : sequence of AgentState
    now : float
        Current time in seconds.

    Returns
    -------
    list of float
        1.0 for targets whose service time is near the median.
    """
    known = sorted(
        agent.load.work_time_us for agent in agents if agent.load.work_time_us
    )
    if not known or known[0] == known[-1]:
        return [1.0] * len(agents)
    median = known[(len(known) - 1) // 2]
    relative = []
    for agent in agents:
        exponent = log2((agent.load.work_time_us or median) / median)
        exponent *= 0.5 ** ((now - agent.work_time_changed_at) / WORK_TIME_HALF_LIFE_S)
        exponent = max(-MAX_SPEED_EXPONENT, round(exponent / SPEED_STEP) * SPEED_STEP)
        relative.append(2.0**exponent)
    return relative


def rank_by_expected_time(
    targets: Sequence[Target],
    *,
    flow: FlowKey,
    zone: str,
    agents: AgentTable,
    now: float,
) -> list[Target]:
    """Order targets for a new flow by the expected time to an answer.

    The load per slot, as `rank_targets` compares it, is multiplied by the relative
    service time. With equal service times the order is that of `rank_targets`. Targets
    with the same result stay in the order of a hash of the flow.

    Load pattern: targets of one service differ in speed (see the module), or one of
    them is slowed down.

    Parameters
    ----------
    targets : sequence of Target
        Targets that are eligible for new flows.
    flow : bytes
        Key of the flow.
    zone : str
        Zone of the balancer that places the flow.
    agents : AgentTable
    now : float
        Current time in seconds.

    Returns
    -------
    list of Target
        At most `MAX_COMPARED_TARGETS` targets; those whose agents are expected to
        accept come before all others.
    """
    selected = select_by_rendezvous(targets, flow, MAX_COMPARED_TARGETS)
    states = [agents.get(target.host) for target in selected]
    relative_work_times = compute_relative_work_times(states, now)
    scores = []
    for order, (target, agent, work_time) in enumerate(
        zip(selected, states, relative_work_times, strict=True)
    ):
        load = agent.load
        flows = (
            load.flows + agent.placed_since_report + IN_FLIGHT_WEIGHT * load.in_flight
        )
        expected_time = (flows + 1) / target.slots * work_time
        if target.zone != zone:
            # In units of the median service time, which is about the round trip
            # between zones.
            expected_time = expected_time * OTHER_ZONE_FACTOR + OTHER_ZONE_FLOWS
        scores.append((not agent.is_accepting(now), expected_time, order))
    scores.sort()
    return [selected[order] for _, _, order in scores]
