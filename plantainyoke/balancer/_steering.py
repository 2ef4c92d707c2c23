"""Selects the agent of each datagram from a caller.

A connection ID or token issued by an agent names that agent. For other Initial packets,
a hash of the connection ID selects candidates from the service's table, without
suspected agents. Balancers share no flow state: with the same configuration, zone ramps
and suspicions, each selects the same agent.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import xxhash

from plantainyoke.configuration import ConfigurationSnapshot, Service
from plantainyoke.routing import (
    CONNECTION_ID_SIZE,
    ConnectionIdCodec,
    ConnectionTarget,
    InitialPacket,
    UnroutablePacket,
    parse_packet,
)

ZONE_RAMP_S = 8.0
ZONE_RAMP_START_SHARE = 0.1
HASH_RANGE = 1 << 32


class DecisionReason(Enum):
    """How the agent of a datagram was determined.

    Attributes
    ----------
    CONNECTION_ID
        The destination connection ID names the agent.
    TOKEN
        The token of an Initial packet names the agent.
    TABLE
        The agent was selected from the candidate table of the service.
    """

    CONNECTION_ID = "connection_id"
    TOKEN = "token"
    TABLE = "table"


@dataclass(slots=True)
class Decision:
    """The agent that a datagram is forwarded to.

    Attributes
    ----------
    agent : int
        Packed address.
    alternates : list of int
        Packed addresses of the agents to which ``agent`` may forward a first packet.
    reason : DecisionReason
    """

    agent: int
    alternates: list[int]
    reason: DecisionReason


@dataclass(frozen=True, slots=True)
class Drop:
    """The reason for dropping a datagram.

    Attributes
    ----------
    reason : str
        Name of the drop counter.
    """

    reason: str


UNKNOWN_KEY = Drop("unknown_key")
WRONG_SERVICE = Drop("wrong_service")
UNKNOWN_ZONE = Drop("unknown_zone")
ZONE_OUT = Drop("zone_out")
OUTSIDE_NETWORKS = Drop("outside_networks")
NO_TARGET = Drop("no_target")


class DatagramSteering:
    """Makes the routing decisions of one balancer.

    Parameters
    ----------
    codec : ConnectionIdCodec
    is_suspect : callable
        Returns whether new flows should avoid the agent at a packed address.
    zones_blocked : callable
        Returns the zones whose established flows are dropped.

    Attributes
    ----------
    zone_returned_at : dict of int to float
        Loop time at which each ramping zone returned to service.
    """

    def __init__(
        self,
        codec: ConnectionIdCodec,
        is_suspect: Callable[[int], bool],
        zones_blocked: Callable[[], frozenset[int]],
    ) -> None:
        self.codec = codec
        self.is_suspect = is_suspect
        self.zones_blocked = zones_blocked
        self.snapshot = ConfigurationSnapshot()
        self.zone_by_agent: dict[int, int] = {}
        self.zone_returned_at: dict[int, float] = {}

    def apply(self, snapshot: ConfigurationSnapshot, now: float) -> None:
        """Apply a new configuration and start a ramp for zones that return."""
        returned = self.snapshot.zones_out - snapshot.zones_out
        for zone in returned & snapshot.zone_names.keys():
            self.zone_returned_at[zone] = now
        for zone in snapshot.zones_out:
            self.zone_returned_at.pop(zone, None)
        self.snapshot = snapshot
        self.zone_by_agent = snapshot.zone_by_agent

    def get_zone_share(self, zone: int, now: float) -> float:
        """Return the share of its new flows that a zone receives, from 0 to 1.

        After a zone returns to service, the share rises linearly from
        ``ZONE_RAMP_START_SHARE``.
        """
        if zone in self.snapshot.zones_out:
            return 0.0
        returned_at = self.zone_returned_at.get(zone)
        if returned_at is None:
            return 1.0
        share = ZONE_RAMP_START_SHARE + (now - returned_at) / ZONE_RAMP_S
        if share >= 1.0:
            del self.zone_returned_at[zone]
            return 1.0
        return share

    def decide(self, datagram: bytes, service: Service, now: float) -> Decision | Drop:
        """Select the agent of one datagram received on a service's address."""
        packet = parse_packet(datagram)
        if type(packet) is UnroutablePacket:
            return Drop(packet.reason)
        if type(packet) is InitialPacket:
            return self._decide_initial(packet, service, now)
        target = self.codec.decode(packet.connection_id)
        if target is None:
            return UNKNOWN_KEY
        drop = self.check_target(target, service)
        if drop is not None:
            return drop
        return Decision(target.agent, [], DecisionReason.CONNECTION_ID)

    def check_target(self, target: ConnectionTarget, service: Service) -> Drop | None:
        """Return the reason for dropping packets to a decoded target, or None.

        The target may have left the configuration: a flow stays with its agent until
        the agent's zone is taken out.
        """
        if target.service != service.id:
            return WRONG_SERVICE
        zone = target.zone
        snapshot = self.snapshot
        if zone in self.zones_blocked():
            return ZONE_OUT
        if self.zone_by_agent.get(target.agent) == zone:
            return None
        if zone not in snapshot.zone_names:
            return UNKNOWN_ZONE
        if not snapshot.is_in_agent_networks(target.agent):
            return OUTSIDE_NETWORKS
        return None

    def select_candidates(self, key: bytes, service: Service, now: float) -> list[int]:
        """Return the agents for a new flow, the preferred one first.

        Suspected agents are left out. If every candidate is suspected, the result is
        one unsuspected agent of the service. If the service has none, the result is the
        candidates: a suspicion alone is no reason to refuse a flow.
        """
        table = service.get_candidate_table(self.snapshot.zones_out)
        candidates = table.find_candidates(key)
        if self.zone_returned_at:
            candidates = self._defer_ramping_zones(key, candidates, now)
        healthy = [agent for agent in candidates if not self.is_suspect(agent)]
        if len(healthy) == len(candidates):
            return candidates
        return healthy or self._select_healthy(key, table.agents) or candidates

    def _decide_initial(
        self, packet: InitialPacket, service: Service, now: float
    ) -> Decision | Drop:
        for field, reason in (
            (packet.token, DecisionReason.TOKEN),
            (packet.connection_id, DecisionReason.CONNECTION_ID),
        ):
            if len(field) != CONNECTION_ID_SIZE:
                continue
            target = self.codec.decode(field)
            if target is not None and self.check_target(target, service) is None:
                return Decision(target.agent, [], reason)
        agents = self.select_candidates(packet.connection_id, service, now)
        if not agents:
            return NO_TARGET
        return Decision(agents[0], agents[1:], DecisionReason.TABLE)

    def _defer_ramping_zones(
        self, key: bytes, agents: list[int], now: float
    ) -> list[int]:
        """Move agents of ramping zones to the end.

        The hash of the key decides whether a flow belongs to the share that a ramping
        zone receives; the zone's agents then keep their positions.
        """
        key_fraction = xxhash.xxh32_intdigest(key) / HASH_RANGE
        zone_by_agent = self.zone_by_agent
        preferred, deferred = [], []
        for agent in agents:
            share = self.get_zone_share(zone_by_agent[agent], now)
            (preferred if key_fraction < share else deferred).append(agent)
        return preferred + deferred

    def _select_healthy(self, key: bytes, agents: list[int]) -> list[int]:
        healthy = [agent for agent in agents if not self.is_suspect(agent)]
        if not healthy:
            return []
        return [healthy[xxhash.xxh64_intdigest(key) % len(healthy)]]
