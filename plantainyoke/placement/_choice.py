"""Choice of a service and its targets for a new flow.

Load pattern: flows are long-lived and carry many requests, so a bad placement cannot be
corrected later. A new flow goes to the least loaded candidate, by the agents' latest
reports and the flows that were placed since.
"""

from collections.abc import Iterable, Sequence

import xxhash

from plantainyoke.catalogue import Route, Target
from plantainyoke.flows import FlowKey
from plantainyoke.placement._agents import AgentTable

BUSY_SHARE = 1.0  # requests per slot from which a further request is queued
MAX_COMPARED_TARGETS = 16  # targets whose load is compared for one flow
IN_FLIGHT_WEIGHT = 2.0  # load that a request in flight adds, in idle flows
OTHER_ZONE_FACTOR = 1.1  # relative excess of load above which a flow crosses zones
OTHER_ZONE_FLOWS = 1.0  # added flows per slot, so that single flows do not decide


def rank_services(route: Route, flow: FlowKey) -> list[str]:
    """Return the services of a route in the order in which to try them.

    The first service is drawn by weight with a hash of the flow's key, so that all
    balancers with the same configuration draw the same one.

    Parameters
    ----------
    route : Route
    flow : bytes
        Key of the flow.

    Returns
    -------
    list of str
        Names of the services with a weight above 0; empty if there is none.
    """
    total = sum(share.weight for share in route.shares)
    if total <= 0:
        return []
    offset = xxhash.xxh64_intdigest(flow) % total
    for share in route.shares:
        offset -= share.weight
        if offset < 0:
            break
    others = [
        other.service
        for other in route.shares
        if other.weight > 0 and other.service != share.service
    ]
    return [share.service, *others]


def is_mostly_cold(targets: Sequence[Target]) -> bool:
    """Return whether at least half of the targets are in cold start.

    Load pattern: after a power loss nearly all targets start at the same time. The few
    warm ones, some of them stale entries of targets that are down, cannot serve the
    load of all, so that the cold ones have to accept flows.
    """
    return 2 * sum(target.cold for target in targets) >= len(targets)


def select_idle_service(
    ranked: Sequence[list[Target]], *, agents: AgentTable, now: float
) -> list[Target]:
    """Select the targets of the first service that has an idle slot.

    Load pattern: after an outage all callers open flows within a second. The smaller
    service of a split then refuses flows while the other one has idle slots. A flow
    therefore moves to the next service if the best target of the first one is busy or
    is not expected to accept it.

    Parameters
    ----------
    ranked : sequence of list of Target
        For each service in the order in which to try them, its targets as ranked by
        `rank_targets`.
    agents : AgentTable
    now : float
        Current time in seconds.

    Returns
    -------
    list of Target
        Targets of the first service whose best target has an idle slot, otherwise of
        the first service with any target.
    """
    for targets in ranked:
        if not targets:
            continue
        agent = agents.get(targets[0].host)
        if agent.is_accepting(now) and agent.busy_share(targets[0].slots) < BUSY_SHARE:
            return targets
    return next((targets for targets in ranked if targets), [])


def select_by_rendezvous(
    targets: Iterable[Target], flow: FlowKey, count: int
) -> list[Target]:
    """Select targets for a flow by rendezvous hashing.

    Every process selects the same targets for a flow at any time, except for targets
    that were added or removed in between.

    Parameters
    ----------
    targets : iterable of Target
    flow : bytes
        Key of the flow.
    count : int
        Maximum number of targets to select.

    Returns
    -------
    list of Target
        Selected targets in the order of their hash values.
    """
    seed = xxhash.xxh64_intdigest(flow)

    def weight(target: Target) -> int:
        return xxhash.xxh64_intdigest(target.host.to_bytes(4, "big"), seed)

    # Faster than a heap up to several hundred targets.
    return sorted(targets, key=weight)[:count]


def rank_targets(
    targets: Sequence[Target],
    *,
    flow: FlowKey,
    zone: str,
    agents: AgentTable,
    now: float,
) -> list[Target]:
    """Order targets for a new flow, the preferred first.

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
        At most `MAX_COMPARED_TARGETS` targets by ascending load per slot; those whose
        agents are expected to accept come before all others.
    """
    selected = select_by_rendezvous(targets, flow, MAX_COMPARED_TARGETS)

    def score(target: Target) -> tuple[bool, float]:
        agent = agents.get(target.host)
        load = agent.load
        flows = (
            load.flows + agent.placed_since_report + IN_FLIGHT_WEIGHT * load.in_flight
        )
        relative_load = (flows + 1) / target.slots
        if target.zone != zone:
            relative_load = relative_load * OTHER_ZONE_FACTOR + OTHER_ZONE_FLOWS
        return not agent.is_accepting(now), relative_load

    return sorted(selected, key=score)
