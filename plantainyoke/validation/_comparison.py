"""Differences between a configuration and the one in force.

Each finding states the effect on open flows. They follow from what the packet path
does: the split and the address of a route decide on new flows only, the holder of a
flow keeps it, and only the idle timeout removes flows from an agent's table.
"""

from collections.abc import Iterator

from plantainyoke.catalogue import Route, RouteConfiguration, ServiceLimits
from plantainyoke.validation._configuration import describe_route
from plantainyoke.validation._finding import ERROR, NOTICE, WARNING, Finding, Place

FLOWS_STAY = "open flows stay at their targets"


def compare_configurations(
    new: RouteConfiguration, in_force: RouteConfiguration
) -> list[Finding]:
    """Return the differences, route by route; empty if both have the same contents.

    Parameters
    ----------
    new : RouteConfiguration
        Its places are those of the findings.
    in_force : RouteConfiguration
    """
    findings = [
        *_compare_routes(new, in_force),
        *_compare_services(new, in_force),
        *_compare_idle_timeout(new, in_force),
    ]
    has_changes = bool(findings)
    return [*_compare_versions(new, in_force, has_changes), *findings]


def _compare_versions(
    new: RouteConfiguration, in_force: RouteConfiguration, has_changes: bool
) -> Iterator[Finding]:
    if new.version > in_force.version:
        return
    if new.version == in_force.version and not has_changes:
        return
    text = (
        f"{new.version} is not above version {in_force.version}, which is in force: "
        "processes ignore it"
    )
    yield Finding("version_not_higher", ERROR, ("version",), text)


def _compare_routes(
    new: RouteConfiguration, in_force: RouteConfiguration
) -> Iterator[Finding]:
    before = {route.endpoint: route for route in in_force.routes}
    after = {route.endpoint: index for index, route in enumerate(new.routes)}
    for endpoint, index in after.items():
        route, place = new.routes[index], ("routes", index)
        if endpoint not in before:
            text = f"{describe_route(route)} is new"
            yield Finding("route_added", NOTICE, place, text)
            continue
        yield from _compare_route(before[endpoint], route, place)
    for endpoint, route in before.items():
        if endpoint not in after:
            text = (
                f"{describe_route(route)} is missing: new flows to it are reset, "
                f"{FLOWS_STAY}, but without its aim, timeout and priority"
            )
            yield Finding("route_removed", WARNING, ("routes",), text)


def _compare_route(before: Route, after: Route, place: Place) -> Iterator[Finding]:
    weights, new_weights = _sum_weights(before), _sum_weights(after)
    if weights != new_weights:
        text = (
            f"split of {describe_route(after)} changes from {_format_split(weights)} "
            f"to {_format_split(new_weights)}: it applies to new flows, {FLOWS_STAY}"
        )
        yield Finding("split_changed", NOTICE, (*place, "shares"), text)
    changes = [
        ("name", repr(before.name), repr(after.name)),
        ("aim", f"{before.aim_s:g} s", f"{after.aim_s:g} s"),
        ("timeout", f"{before.timeout_s:g} s", f"{after.timeout_s:g} s"),
        ("priority", before.priority, after.priority),
        ("idempotent", before.is_idempotent, after.is_idempotent),
    ]
    texts = [f"{name} {old} to {new}" for name, old, new in changes if old != new]
    if texts:
        text = (
            f"{describe_route(after)} changes {', '.join(texts)}: it applies to the "
            f"next request of open flows too, {FLOWS_STAY}"
        )
        yield Finding("route_changed", NOTICE, place, text)


def _compare_services(
    new: RouteConfiguration, in_force: RouteConfiguration
) -> Iterator[Finding]:
    # A process may keep the limits of services that earlier configurations dropped, so
    # only those that its routes use count as missing.
    used = {share.service for route in in_force.routes for share in route.shares}
    for name, limits in new.services.items():
        before = in_force.services.get(name)
        if before is None:
            text = f"service {name!r} is new"
            yield Finding("service_added", NOTICE, ("services", name), text)
        elif before != limits:
            yield _describe_limits(name, before, limits)
    for name in in_force.services.keys() & used - new.services.keys():
        text = f"service {name!r} is missing: its targets have no limits, {FLOWS_STAY}"
        yield Finding("service_removed", WARNING, ("services",), text)


def _describe_limits(name: str, before: ServiceLimits, after: ServiceLimits) -> Finding:
    changes = [
        ("flows per target", before.max_flows, after.max_flows),
        ("cold start in s", before.cold_start_s, after.cold_start_s),
        ("cold flows per s", before.cold_flows_per_s, after.cold_flows_per_s),
    ]
    texts = [f"{field} {old} to {new}" for field, old, new in changes if old != new]
    effect = f"it applies to new flows, {FLOWS_STAY}"
    if after.max_flows < before.max_flows:
        effect += ", also those above the limit"
    text = f"service {name!r} changes {', '.join(texts)}: {effect}"
    return Finding("service_changed", NOTICE, ("services", name), text)


def _compare_idle_timeout(
    new: RouteConfiguration, in_force: RouteConfiguration
) -> Iterator[Finding]:
    before, after = in_force.idle_timeout_s, new.idle_timeout_s
    if before == after:
        return
    text = f"idle timeout changes from {before:g} s to {after:g} s: "
    severity = WARNING if after < before else NOTICE
    if after < before:
        text += f"open flows that are idle for {after:g} s or longer may be dropped"
    else:
        text += f"{FLOWS_STAY} and may be idle for longer"
    yield Finding("idle_timeout_changed", severity, ("idle_timeout_s",), text)


def _sum_weights(route: Route) -> dict[str, int]:
    weights: dict[str, int] = {}
    for share in route.shares:
        weights[share.service] = weights.get(share.service, 0) + share.weight
    return weights


def _format_split(weights: dict[str, int]) -> str:
    return ", ".join(f"{name!r} {weight}" for name, weight in weights.items()) or "none"
