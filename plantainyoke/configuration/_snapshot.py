"""Snapshots of the configuration, indexed for decisions on packets and requests.

A snapshot is built from an index and its chunks and does not change afterwards. It
shares the unchanged services with the snapshot before it.
"""

import ipaddress
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import cached_property

from plantainyoke.configuration._documents import Chunk, Index, ServiceRecord
from plantainyoke.hashing import (
    compute_service_id,
    compute_zone_id,
)
from plantainyoke.routing import (
    CandidateTable,
)


@dataclass(frozen=True, slots=True)
class ServiceTarget:
    """One target of a service.

    Attributes
    ----------
    agent : int
        Packed address of the agent.
    zone : int
        Identifier of the agent's availability zone.
    """

    agent: int
    zone: int


class Service:
    """One service of a snapshot.

    Attributes
    ----------
    id : int
        Identifier of the service, computed from its name.
    name : str
    address : int
        Packed address that callers use.
    record : ServiceRecord
        The service as published.
    targets : tuple of ServiceTarget
    """

    __slots__ = ("id", "name", "address", "record", "targets", "_table_by_zones_out")

    def __init__(self, record: ServiceRecord) -> None:
        self.id = compute_service_id(record.name)
        self.name = record.name
        self.address = record.address
        self.record = record
        self.targets = tuple(
            ServiceTarget(agent, compute_zone_id(zone))
            for zone, agents in record.targets.items()
            for agent in agents
        )
        self._table_by_zones_out: dict[frozenset[int], CandidateTable] = {}

    def get_candidate_table(self, zones_out: frozenset[int]) -> CandidateTable:
        """Return the candidate table of the targets whose zone is in service.

        Only the table for the last ``zones_out`` is cached.

        Parameters
        ----------
        zones_out : frozenset of int
            Identifiers of the zones taken out of service.
        """
        table = self._table_by_zones_out.get(zones_out)
        if table is None:
            agents = [
                target.agent for target in self.targets if target.zone not in zones_out
            ]
            table = CandidateTable(agents)
            self._table_by_zones_out = {zones_out: table}
        return table


@dataclass(frozen=True)
class ConfigurationSnapshot:
    """The content of one applied generation.

    Attributes
    ----------
    generation : int
        0 before any configuration arrived.
    digest : str
        Digest of the index; orders documents of equal generations.
    zone_names : dict of int to str
        Zone names by identifier.
    zones_out : frozenset of int
        Identifiers of zones taken out of service.
    services : dict of int to Service
        Services by identifier.
    zone_by_agent : dict of int to int
        Zone identifier by packed agent address.
    networks : tuple of IPv4Network
        Networks that agents may be in.
    """

    generation: int = 0
    digest: str = ""
    zone_names: dict[int, str] = field(default_factory=dict)
    zones_out: frozenset[int] = frozenset()
    services: dict[int, Service] = field(default_factory=dict)
    zone_by_agent: dict[int, int] = field(default_factory=dict)
    networks: tuple[ipaddress.IPv4Network, ...] = ()

    @property
    def version(self) -> tuple[int, str]:
        """Generation and digest, by which configurations are ordered."""
        return self.generation, self.digest

    @cached_property
    def network_ranges(self) -> tuple[tuple[int, int], ...]:
        """First and last IPv4 address of each network, as integers."""
        return tuple(
            (int(network.network_address), int(network.broadcast_address))
            for network in self.networks
        )

    def is_in_agent_networks(self, agent: int) -> bool:
        """Return whether a packed address is within the agents' networks."""
        ip = agent >> 16
        return any(first <= ip <= last for first, last in self.network_ranges)


def build_snapshot(
    index: Index,
    digest: str,
    *,
    added: Iterable[Chunk],
    removed: Iterable[Chunk],
    previous: ConfigurationSnapshot,
) -> ConfigurationSnapshot:
    """Build the snapshot of a newer index from the previous snapshot.

    Only the services of changed chunks are processed: a change to one service costs
    time proportional to its chunk, plus the copies of two mappings.

    Parameters
    ----------
    index : Index
    digest : str
        Digest of the index document.
    added, removed : iterable of Chunk
        Chunks that are only in the new or only in the previous generation.
    previous : ConfigurationSnapshot
    """
    services = dict(previous.services)
    zone_by_agent = dict(previous.zone_by_agent)
    for chunk in removed:
        for record in chunk.services:
            service = services.pop(compute_service_id(record.name))
            for target in service.targets:
                del zone_by_agent[target.agent]
    for chunk in added:
        for record in chunk.services:
            old = previous.services.get(compute_service_id(record.name))
            unchanged = old is not None and old.record == record
            service = old if unchanged else Service(record)
            services[service.id] = service
            for target in service.targets:
                zone_by_agent[target.agent] = target.zone
    return ConfigurationSnapshot(
        generation=index.generation,
        digest=digest,
        zone_names={compute_zone_id(name): name for name in index.zones},
        zones_out=frozenset(
            compute_zone_id(name)
            for name, state in index.zones.items()
            if state == "out"
        ),
        services=services,
        zone_by_agent=zone_by_agent,
        networks=tuple(ipaddress.IPv4Network(text) for text in index.networks),
    )
