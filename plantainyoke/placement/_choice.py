"""Choice of a target for a new flow.

Load pattern: flows live long and bring many requests, so a flow that is placed badly
cannot be corrected later. New flows go to the least loaded of the candidates, by the
agents' latest reports plus what was placed since.
"""

from collections.abc import Iterable, Sequence
from heapq import nsmallest

import xxhash

from plantainyoke.catalogue import Route, Target
from plantainyoke.flows import FlowKey
from plantainyoke.placement._agents import AgentTable

BUSY_SHARE = 1.0  # from here on a further request waits for a slot
MAX_COMPARED = 16  # targets whose load is compared for one flow
IN_FLIGHT_WEIGHT = 2.0  # a flow that waits for an answer counts as so many idle ones
OTHER_ZONE_FACTOR = 1.1  # relative excess of load for which a flow crosses zones
OTHER_ZONE_FLOWS = 1.0  # and flows a slot, so that single flows do not decide


def rank_services(route: Route, flow: FlowKey) -> list[str]:
    """Return the services of a route in the order in which to try them.

    The first is drawn by weight from the flow's key, so that every balancer with
    the same configuration draws the same.
    """
    total = sum(share.weight for share in route.shares)
    if total <= 0:
        return []
    point = xxhash.xxh64_intdigest(flow) % total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            break
    others = [
        other.service
        for other in route.shares
        if other.weight > 0 and other.service != share.service
    ]
    return [share.service, *others]


def is_mostly_cold(targets: Sequence[Target]) -> bool:
    """Tell whether half of the targets or more are in cold start.

    Load pattern: after a power loss nearly all targets start at the same time, and the
    few that do not, or whose old entries still stand, cannot take the load of all.
    """
    return 2 * sum(target.cold for target in targets) >= len(targets)


def select_idle_service(
    ranked: Sequence[list[Target]], *, agents: AgentTable, now: float
) -> list[Target]:
    """Choose among the ranked targets of a route's services.

    Load pattern: after an outage all callers open flows within a second, and the
    smaller service of a split turns requests away while the other has idle slots.

    Parameters
    ----------
    ranked : sequence of list of Target
        For each service in the order in which to try them, its targets as ranked by
        `rank_targets`.
    agents : AgentTable
    now : float

    Returns
    -------
    list of Target
        Those of the first service with an idle slot, else those of the first service
        with a target at all.
    """
    for targets in ranked:
        if not targets:
            continue
        agent = agents.get(targets[0].host)
        if agent.accepts(now) and agent.busy_share(targets[0].slots) < BUSY_SHARE:
            return targets
    return next((targets for targets in ranked if targets), [])


def select_by_rendezvous(
    targets: Iterable[Target], flow: FlowKey, count: int
) -> list[Target]:
    """Draw targets by rendezvous hashing of the flow, the first drawn first.

    The same targets are drawn wherever and whenever this is done for a flow, but for
    those that came or went meanwhile.
    """
    seed = xxhash.xxh64_intdigest(flow)

    def weight(target: Target) -> int:
        return xxhash.xxh64_intdigest(target.host.to_bytes(4, "big"), seed)

    return nsmallest(count, targets, key=weight)


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
        Targets that may get new flows.
    flow : bytes
    zone : str
        Zone of the caller's balancer.
    agents : AgentTable
    now : float

    Returns
    -------
    list of Target
        Targets expected to accept come before all others.
    """
    drawn = select_by_rendezvous(targets, flow, MAX_COMPARED)

    def score(target: Target) -> tuple[bool, float]:
        agent = agents.get(target.host)
        load = agent.load
        flows = (
            load.flows + agent.placed_since_report + IN_FLIGHT_WEIGHT * load.in_flight
        )
        relative = (flows + 1) / target.slots
        if target.zone != zone:
            relative = relative * OTHER_ZONE_FACTOR + OTHER_ZONE_FLOWS
        return not agent.accepts(now), relative

    return sorted(drawn, key=score)
