"""Decides where a caller's datagram goes."""

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
ZONE_RAMP_START = 0.1
HASH_RANGE = 1 << 32


class DecisionReason(Enum):
    """On what ground an agent was chosen."""

    CONNECTION_ID = "connection_id"
    TOKEN = "token"
    TABLE = "table"


@dataclass(slots=True)
class Decision:
    """Where a datagram goes.

    Attributes
    ----------
    agent : int
        Packed address.
    alternates : list of int
        Agents to which the first may pass a first packet on.
    reason : DecisionReason
    """

    agent: int
    alternates: list[int]
    reason: DecisionReason


@dataclass(frozen=True, slots=True)
class Drop:
    """Why a datagram goes nowhere.

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
    """Routing decisions of one balancer.

    Parameters
    ----------
    codec : ConnectionIdCodec
    is_suspect : callable
        Tells whether new flows should avoid an agent.
    zones_blocked : callable
        Returns the zones whose established flows are given up.
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
        """Take over a new configuration and ramp the zones that return."""
        returned = self.snapshot.zones_out - snapshot.zones_out
        for zone in returned & snapshot.zone_names.keys():
            self.zone_returned_at[zone] = now
        for zone in snapshot.zones_out:
            self.zone_returned_at.pop(zone, None)
        self.snapshot = snapshot
        self.zone_by_agent = snapshot.zone_by_agent

    def zone_share(self, zone: int, now: float) -> float:
        """Return the share of its new flows that a zone takes, 0 to 1."""
        if zone in self.snapshot.zones_out:
            return 0.0
        returned_at = self.zone_returned_at.get(zone)
        if returned_at is None:
            return 1.0
        share = ZONE_RAMP_START + (now - returned_at) / ZONE_RAMP_S
        if share >= 1.0:
            del self.zone_returned_at[zone]
            return 1.0
        return share

    def decide(self, datagram: bytes, service: Service, now: float) -> Decision | Drop:
        """Choose the agent of one datagram that came in on a service's address."""
        packet = parse_packet(datagram)
        if type(packet) is UnroutablePacket:
            return Drop(packet.reason)
        if type(packet) is InitialPacket:
            return self._decide_first(packet, service, now)
        target = self.codec.decode(packet.connection_id)
        if target is None:
            return UNKNOWN_KEY
        fault = self.check_target(target, service)
        if fault is not None:
            return fault
        return Decision(target.agent, [], DecisionReason.CONNECTION_ID)

    def check_target(self, target: ConnectionTarget, service: Service) -> Drop | None:
        """Return why a decoded target must not be used, None if it may be.

        The target need not be in the configuration any more: a flow stays with
        its agent until the agent's zone is taken out.
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
        """Return the agents for a new flow, the preferred one first."""
        table = service.get_candidate_table(self.snapshot.zones_out)
        chosen = table.find_candidates(key)
        if self.zone_returned_at:
            chosen = self._ramped(key, chosen, now)
        healthy = [agent for agent in chosen if not self.is_suspect(agent)]
        if len(healthy) == len(chosen):
            return chosen
        return healthy or self._any_healthy(key, table.agents) or chosen

    def _decide_first(
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

    def _ramped(self, key: bytes, agents: list[int], now: float) -> list[int]:
        """Move agents of ramping zones back, but for the share that they take."""
        fraction = xxhash.xxh32_intdigest(key) / HASH_RANGE
        zone_by_agent = self.zone_by_agent
        first, last = [], []
        for agent in agents:
            share = self.zone_share(zone_by_agent[agent], now)
            (first if fraction < share else last).append(agent)
        return first + last

    def _any_healthy(self, key: bytes, agents: list[int]) -> list[int]:
        healthy = [agent for agent in agents if not self.is_suspect(agent)]
        if not healthy:
            return []
        return [healthy[xxhash.xxh64_intdigest(key) % len(healthy)]]
