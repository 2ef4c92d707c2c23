"""Pages of the configuration in force, with which a process answers a query.

A process answers queries between two packets, so that each answer must take a bounded
time and memory whatever the size of the configuration. A page has at most
`PAGE_ENTRIES` routes and as many services; the querying program joins the pages.
"""

from collections.abc import Callable, Iterable
from itertools import islice

import msgspec

from plantainyoke.catalogue._catalogue import Catalogue
from plantainyoke.catalogue._types import Route, RouteConfiguration, ServiceLimits

PAGE_ENTRIES = 50  # an answer takes some 0.3 ms (docs/design/configuration_check.md)
# Targets of a service whose slots and work times are read for a page; the targets of a
# service rarely differ.
MAX_SAMPLED_TARGETS = 8


class ServiceCapacity(msgspec.Struct, frozen=True):
    """Capacity of a service's targets as a running process knows it.

    Attributes
    ----------
    slots : int
        Fewest requests that one of the targets processes at a time, 0 if unknown.
    work_time_s : float
        Median time of a request at the targets, 0 if unknown.
    """

    slots: int = 0
    work_time_s: float = 0.0


class ConfigurationPage(msgspec.Struct, frozen=True):
    """A part of the configuration in force.

    Attributes
    ----------
    version : int
        Pages of different versions do not belong together.
    idle_timeout_s : float
    pages : int
        Number of pages, at least 1.
    routes : tuple of Route
    services : dict of str to ServiceLimits
    capacities : dict of str to ServiceCapacity
        For the services of this page.
    """

    version: int
    idle_timeout_s: float
    pages: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceLimits]
    capacities: dict[str, ServiceCapacity]


def build_page(
    catalogue: Catalogue, page: int, get_work_time_s: Callable[[int], float]
) -> ConfigurationPage:
    """Return one page of the configuration in force.

    Parameters
    ----------
    catalogue : Catalogue
    page : int
        Number of the page, from 0; pages beyond the last one are empty.
    get_work_time_s : callable
        Returns the time of a request at the target of a host, 0 if unknown.
    """
    entries = max(len(catalogue.routes), len(catalogue.services))
    bounds = page * PAGE_ENTRIES, (page + 1) * PAGE_ENTRIES
    services = dict(islice(catalogue.services.items(), *bounds))
    return ConfigurationPage(
        catalogue.configuration.version,
        catalogue.configuration.idle_timeout_s,
        max(1, -(-entries // PAGE_ENTRIES)),
        tuple(islice(catalogue.routes.values(), *bounds)),
        services,
        {
            name: _measure_capacity(catalogue, name, get_work_time_s)
            for name in services
        },
    )


def join_pages(pages: Iterable[ConfigurationPage]) -> RouteConfiguration:
    """Return the configuration of all pages, which are of one version."""
    first, *others = pages
    services = dict(first.services)
    for page in others:
        services.update(page.services)
    routes = tuple(route for page in (first, *others) for route in page.routes)
    return RouteConfiguration(first.version, routes, services, first.idle_timeout_s)


def _measure_capacity(
    catalogue: Catalogue, service: str, get_work_time_s: Callable[[int], float]
) -> ServiceCapacity:
    targets = catalogue.targets_by_service.get(service, {}).values()
    sample = list(islice(targets, MAX_SAMPLED_TARGETS))
    times = sorted(time_s for one in sample if (time_s := get_work_time_s(one.host)))
    return ServiceCapacity(
        min((target.slots for target in sample), default=0),
        times[len(times) // 2] if times else 0.0,
    )
