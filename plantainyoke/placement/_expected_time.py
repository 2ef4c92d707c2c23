"""Choice of a target by the expected time to an answer.

Load pattern: targets of one service differ in speed, and flows carry many requests. A
choice by counts gives a slow target as many flows as a fast one, so that requests queue
at the slow one for the whole life of the flows.

Load pattern: many balancers choose at the same time from reports up to 0.6 s old. If
each compares all targets, the one that last reported the least load is flooded until
its next report arrives.
"""

from collections.abc import Callable, Sequence
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
# Targets that are compared under load, some from the balancer's own zone. Fewer balance
# worse, more of them let balancers with the same reports choose the same target.
MAX_COMPARED_UNDER_LOAD = 6
MAX_COMPARED_IN_ZONE = 4
LOADED_SHARE = 1.0  # mean requests per slot; below it a burst finds idle slots
MAX_REPORT_AGE_S = 2.0  # agents report for this long to a balancer that is silent
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
    known = sorted([t for agent in agents if (t := agent.load.work_time_us)])
    if not known or known[0] == known[-1]:
        return [1.0] * len(agents)
    median = known[(len(known) - 1) // 2]
    relative = []
    for agent in agents:
        work_time_us = agent.load.work_time_us or median
        if 5 * median < 6 * work_time_us < 7 * median:
            relative.append(1.0)  # less than half a step away
            continue
        exponent = log2(work_time_us / median)
        age_s = now - agent.work_time_changed_at
        steps = round(exponent / SPEED_STEP * 0.5 ** (age_s / WORK_TIME_HALF_LIFE_S))
        relative.append(2.0 ** max(-MAX_SPEED_EXPONENT, steps * SPEED_STEP))
    return relative


def select_compared(
    targets: Sequence[Target],
    agents: Sequence[AgentState],
    *,
    zone: str,
    accepting: Sequence[bool],
) -> list[int]:
    """Select the targets to compare for one flow.

    Load pattern: stale reports under load (see the module). The first targets of the
    order, which differs for each flow, are compared. At most `MAX_COMPARED_IN_ZONE` of
    them are in the balancer's zone, and no more of other zones than complete the number
    to `MAX_COMPARED_UNDER_LOAD`, because traffic between zones is expensive.

    Parameters
    ----------
    targets : sequence of Target
        Targets in an order that depends on the flow.
    agents : sequence of AgentState
        States of their agents.
    zone : str
        Zone of the balancer.
    accepting : sequence of bool
        Whether each agent is expected to accept.

    Returns
    -------
    list of int
        Positions of the targets: all while few requests are in flight, otherwise only
        of targets whose agents are expected to accept.
    """
    positions = range(len(targets))
    in_flight = sum(agent.load.in_flight for agent in agents)
    if in_flight < LOADED_SHARE * sum(target.slots for target in targets):
        return list(positions)
    own, others = [], []
    for position in positions:
        if accepting[position]:
            is_own = targets[position].zone == zone
            (own if is_own else others).append(position)
    own = own[: MAX_COMPARED_IN_ZONE if others else MAX_COMPARED_UNDER_LOAD]
    return own + others[: MAX_COMPARED_UNDER_LOAD - len(own)]


def measure_imbalance(
    targets: Sequence[Target], agents: AgentTable, now: float
) -> float:
    """Return the load of the busiest target relative to the mean of all.

    Load pattern: lasting unevenness, which an operator has to see to find its cause.

    Parameters
    ----------
    targets : sequence of Target
        Targets of one service.
    agents : AgentTable
    now : float
        Current time in seconds.

    Returns
    -------
    float
        Ratio of the reported requests in flight per slot; 1.0 if none is in flight.
    """
    shares = [
        agents.get(target.host).load.in_flight / target.slots
        for target in targets
        if now - agents.get(target.host).last_message_at < MAX_REPORT_AGE_S
    ]
    total = sum(shares)
    return max(shares) * len(shares) / total if total else 1.0


def rank_by_expected_time(
    targets: Sequence[Target],
    *,
    flow: FlowKey,
    zone: str,
    agents: AgentTable,
    now: float,
    on_tied: Callable[[], None] | None = None,
) -> list[Target]:
    """Order targets for a new flow by the expected time to an answer.

    The load per slot, as `rank_targets` compares it, is multiplied by the relative
    service time. With equal service times the order of the compared targets is that of
    `rank_targets`. Targets with the same result stay in the order of a hash of the
    flow. Those that `select_compared` leaves out follow after the compared ones.

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
    on_tied : callable, optional
        Called if the two best targets have the same result.

    Returns
    -------
    list of Target
        At most `MAX_COMPARED_TARGETS` targets; those whose agents are expected to
        accept come before all others.
    """
    selected = select_by_rendezvous(targets, flow, MAX_COMPARED_TARGETS)
    states = [agents.get(target.host) for target in selected]
    accepting = [agent.is_accepting(now) for agent in states]
    relative_work_times = compute_relative_work_times(states, now)
    # Targets that are not compared follow in the order of the hash.
    scores = [
        (not accepts, True, 0.0, position) for position, accepts in enumerate(accepting)
    ]
    for position in select_compared(selected, states, zone=zone, accepting=accepting):
        target, agent = selected[position], states[position]
        load = agent.load
        flows = (
            load.flows + agent.placed_since_report + IN_FLIGHT_WEIGHT * load.in_flight
        )
        expected_time = (flows + 1) / target.slots * relative_work_times[position]
        if target.zone != zone:
            # In units of the median service time, which is about the round trip
            # between zones.
            expected_time = expected_time * OTHER_ZONE_FACTOR + OTHER_ZONE_FLOWS
        scores[position] = (not accepting[position], False, expected_time, position)
    scores.sort()
    if on_tied is not None and len(scores) > 1 and scores[0][:3] == scores[1][:3]:
        on_tied()
    return [selected[position] for *_, position in scores]
