"""Query for the configuration in force in a running process."""

import msgspec

from plantainyoke.catalogue import (
    ConfigurationPage,
    RouteConfiguration,
    ServiceCapacity,
    join_pages,
)
from plantainyoke.cli.queries._query import QueryError, fetch_answer
from plantainyoke.network import Address, format_address

MAX_ATTEMPTS = 5  # the version may change between two pages; changes are seconds apart
MAX_PAGES = 10_000  # a process with more has answered wrongly


class InForce(msgspec.Struct):
    """Configuration in force, and the capacity of the targets by service."""

    configuration: RouteConfiguration
    capacities: dict[str, ServiceCapacity]


def fetch_in_force(control: Address) -> InForce:
    """Return the configuration in force in a process of the packet path.

    Raises
    ------
    QueryError
        If the process does not answer, or its version changes repeatedly meanwhile.
    """
    for _ in range(MAX_ATTEMPTS):
        pages = _fetch_pages(control)
        if len({(page.version, page.pages) for page in pages}) == 1:
            capacities: dict[str, ServiceCapacity] = {}
            for page in pages:
                capacities.update(page.capacities)
            return InForce(join_pages(pages), capacities)
    raise QueryError(f"{format_address(control)} changes its configuration repeatedly")


def _fetch_pages(control: Address) -> list[ConfigurationPage]:
    pages = [_fetch_page(control, 0)]
    for number in range(1, min(pages[0].pages, MAX_PAGES)):
        pages.append(_fetch_page(control, number))
    return pages


def _fetch_page(control: Address, number: int) -> ConfigurationPage:
    answer = fetch_answer(control, "configuration", {"page": str(number)})
    try:
        return msgspec.json.decode(answer, type=ConfigurationPage)
    except (msgspec.MsgspecError, ValueError) as error:
        text = f"{format_address(control)} answers with another format: {error}"
        raise QueryError(text) from error
