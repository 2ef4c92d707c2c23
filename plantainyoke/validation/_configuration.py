"""Checks of one configuration of routes and services.

The places are those of `RouteConfiguration`: the position of a route, the name of a
service, and the names of their fields.
"""

import ipaddress
from collections.abc import Callable, Iterable, Iterator, Mapping

from plantainyoke.catalogue import (
    Route,
    RouteConfiguration,
    ServiceCapacity,
    ServiceLimits,
)
from plantainyoke.network import format_host
from plantainyoke.validation._finding import ERROR, WARNING, Finding, Place

MAX_PORT = 65_535
# Age at which flows may be dropped, as docs/hard-load.md states: a caller that waits
# longer may lose its flow before the answer.
FLOW_AGE_S = 60.0
# Routers carry no packets to these networks, so that no balancer receives any.
UNREACHABLE_NETWORKS = {
    ipaddress.IPv4Network("0.0.0.0/8"): "an unspecified address",
    ipaddress.IPv4Network("127.0.0.0/8"): "a loopback address",
    ipaddress.IPv4Network("169.254.0.0/16"): "a link-local address",
    ipaddress.IPv4Network("224.0.0.0/4"): "a multicast address",
    ipaddress.IPv4Network("240.0.0.0/4"): "a reserved address",
}


def check_configuration(
    configuration: RouteConfiguration,
    capacities: Mapping[str, ServiceCapacity] | None = None,
) -> list[Finding]:
    """Return all errors and contradictions of a configuration.

    Parameters
    ----------
    configuration : RouteConfiguration
    capacities : mapping of str to ServiceCapacity, optional
        Capacity by service. The rate of a cold start is compared with the slots only
        for services of which both values are known.
    """
    findings = list(_check_version(configuration))
    findings += _check_shadowed_routes(configuration.routes)
    for index, route in enumerate(configuration.routes):
        place = ("routes", index)
        findings += _check_address(route, place)
        findings += _check_shares(route, place, configuration.services)
        findings += _check_times(route, place)
    findings += _check_idle_timeout(configuration)
    for name, limits in configuration.services.items():
        capacity = (capacities or {}).get(name, ServiceCapacity())
        findings += _check_limits(name, limits, capacity)
    return findings


def describe_route(route: Route) -> str:
    """Return the name and address of a route for the text of a finding."""
    return f"route {route.name!r} ({format_host(route.host)}:{route.port})"


def describe_unreachable_host(host: int) -> str | None:
    """Return why no packets arrive at an address, None if they can."""
    address = ipaddress.IPv4Address(host)
    for network, description in UNREACHABLE_NETWORKS.items():
        if address in network:
            return description
    return None


def _check_version(configuration: RouteConfiguration) -> Iterator[Finding]:
    if configuration.version < 1:
        text = "is below 1; processes start at version 0 and ignore it"
        yield Finding("version_too_low", ERROR, ("version",), text)


def _check_shadowed_routes(routes: Iterable[Route]) -> Iterator[Finding]:
    """Yield the routes that a later one with the same address and port replaces.

    The catalogue keeps one route for each address and port, and this is the last one.
    """
    effective = {route.endpoint: index for index, route in enumerate(routes)}
    for index, route in enumerate(routes):
        last = effective[route.endpoint]
        if last != index:
            text = (
                f"{describe_route(route)} never matches: routes[{last}] has the same "
                "address and port, and the last one is in force"
            )
            yield Finding("route_shadowed", ERROR, ("routes", index), text)


def _check_address(route: Route, place: Place) -> Iterator[Finding]:
    description = describe_unreachable_host(route.host)
    if description:
        text = f"{format_host(route.host)} is {description}: no packets arrive there"
        yield Finding("address_unreachable", ERROR, (*place, "host"), text)
    if not 1 <= route.port <= MAX_PORT:
        text = f"port {route.port} is outside 1 to {MAX_PORT}: no packets arrive there"
        yield Finding("port_unreachable", ERROR, (*place, "port"), text)


def _check_shares(
    route: Route, place: Place, services: Mapping[str, ServiceLimits]
) -> Iterator[Finding]:
    place = (*place, "shares")
    if not route.shares:
        text = "names no service: every new flow is reset"
        yield Finding("route_without_service", ERROR, place, text)
        return
    for index, share in enumerate(route.shares):
        if share.weight < 0:
            text = f"weight {share.weight} of service {share.service!r} is negative"
            yield Finding("weight_negative", ERROR, (*place, index, "weight"), text)
        if share.service not in services:
            text = (
                f"service {share.service!r} is not listed in services: without limits "
                "for it, its targets get flows up to any number and any cold rate"
            )
            yield Finding(
                "service_not_listed", WARNING, (*place, index, "service"), text
            )
    if sum(share.weight for share in route.shares) <= 0:
        text = "the weights add up to 0 or less: every new flow is reset"
        yield Finding("route_without_weight", ERROR, place, text)


def _check_times(route: Route, place: Place) -> Iterator[Finding]:
    for name, value in (("aim_s", route.aim_s), ("timeout_s", route.timeout_s)):
        yield from _check_negative((*place, name), value)
    if 0 < route.timeout_s < route.aim_s:
        text = (
            f"aim {_format_ms(route.aim_s)} is above the timeout "
            f"{_format_ms(route.timeout_s)}: answers up to the aim come after callers "
            "gave up"
        )
        yield Finding("aim_above_timeout", WARNING, (*place, "aim_s"), text)
    if route.timeout_s > FLOW_AGE_S:
        text = (
            f"timeout {_format_ms(route.timeout_s)} is above {_format_ms(FLOW_AGE_S)}, "
            "the age at which flows may be dropped"
        )
        yield Finding("timeout_above_flow_age", WARNING, (*place, "timeout_s"), text)


def _check_idle_timeout(configuration: RouteConfiguration) -> Iterator[Finding]:
    idle_s, place = configuration.idle_timeout_s, ("idle_timeout_s",)
    if idle_s <= 0:
        text = "is not above 0: flows are dropped as soon as they are idle"
        yield Finding("idle_timeout_not_positive", ERROR, place, text)
        return
    yield from _compare_idle_timeout(configuration, "aim", lambda route: route.aim_s)
    yield from _compare_idle_timeout(
        configuration, "timeout", lambda route: route.timeout_s
    )


def _compare_idle_timeout(
    configuration: RouteConfiguration, kind: str, get_time_s: Callable[[Route], float]
) -> Iterator[Finding]:
    """Yield one finding for all routes of which a time exceeds the idle timeout."""
    idle_s = configuration.idle_timeout_s
    affected = [route for route in configuration.routes if get_time_s(route) > idle_s]
    if not affected:
        return
    longest = max(affected, key=get_time_s)
    text = (
        f"idle timeout {_format_ms(idle_s)} is below the {kind} of "
        f"{len(affected)} routes, at most {_format_ms(get_time_s(longest))} of "
        f"{describe_route(longest)}: a flow may be dropped while its caller waits"
    )
    yield Finding(f"idle_timeout_below_{kind}", WARNING, ("idle_timeout_s",), text)


def _check_limits(
    name: str, limits: ServiceLimits, capacity: ServiceCapacity
) -> Iterator[Finding]:
    place = ("services", name)
    if limits.max_flows < 1:
        text = f"{limits.max_flows} flows per target: no target accepts a new flow"
        yield Finding("service_without_flows", ERROR, (*place, "max_flows"), text)
    for field in ("cold_start_s", "cold_flows_per_s"):
        yield from _check_negative((*place, field), getattr(limits, field))
    rate_place = (*place, "cold_flows_per_s")
    rate = limits.cold_flows_per_s
    if rate * limits.cold_start_s > limits.max_flows >= 1:
        text = (
            f"{rate:g} new flows per second for a cold start of "
            f"{limits.cold_start_s:g} s are more than the {limits.max_flows} flows "
            "that a target may hold"
        )
        yield Finding("cold_rate_above_flows", WARNING, rate_place, text)
    if capacity.slots and rate * capacity.work_time_s > capacity.slots:
        text = (
            f"{rate:g} new flows per second are more than {capacity.slots} slots can "
            f"serve at {_format_ms(capacity.work_time_s)} for each request"
        )
        yield Finding("cold_rate_above_slots", WARNING, rate_place, text)


def _check_negative(place: Place, value: float) -> Iterator[Finding]:
    if value < 0:
        yield Finding("limit_negative", ERROR, place, "is negative")


def _format_ms(seconds: float) -> str:
    return f"{seconds * 1000:g} ms"
