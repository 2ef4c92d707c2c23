"""Decisions of a balancer about callers' packets.

Nothing here reads a clock or a socket: time and the ways out are arguments, so that
a test replays any load.
"""

from collections import OrderedDict
from collections.abc import Callable

import msgspec

from plantainyoke.catalogue import Catalogue, Route, Target
from plantainyoke.flows import (
    MAX_ALTERNATES,
    MOSTLY_COLD_FLAG,
    FlowKey,
    Ingress,
    Message,
    MessageKind,
    Segment,
    choose_homes,
    decode_load_body,
    decode_refusal,
    encode_message,
    encode_open_body,
    format_flow,
    service_endpoint,
)
from plantainyoke.hashing import service_identifier, zone_identifier
from plantainyoke.network import format_host
from plantainyoke.packet_node import PacketCodec, send_reset
from plantainyoke.placement import (
    AgentTable,
    is_mostly_cold,
    rank_services,
    rank_targets,
    select_idle_service,
)
from plantainyoke.telemetry import Metrics, log_event

PLACE_TIMEOUT_S = 0.06  # a target accepts within 10 ms, across zones included
FIND_TIMEOUT_S = 0.06
MAX_ATTEMPTS = 4  # of one packet, through different agents
MAX_CACHED_FLOWS = 200_000  # about 100 MB


class CachedFlow(msgspec.Struct):
    """What a balancer knows of a flow.

    Attributes
    ----------
    last_seen_at : float
    started_at : float
    holder : int
        Host of the agent that holds the flow, 0 if unknown.
    open : bool
        Whether the holder reported the flow as open.
    service : int
        Identifier of the service that was chosen for the flow.
    tried : list of int
        Agents that refused the first packet, did not answer to it, or were asked
        for the holder.
    offered : list of int
        Agents of the attempt in progress: the first and its alternates.
    mostly_cold : bool
        Whether half of the service's targets were in cold start at the last attempt.
    attempts : int
    timed_out : bool
        Whether an agent did not answer to the first packet.
    deadline : float
        Time at which the next attempt is due, 0 if none is.
    packet : Segment or None
        The packet that is not placed or whose holder is not found yet.
    """

    last_seen_at: float
    started_at: float
    holder: int = 0
    open: bool = False
    service: int = 0
    tried: list[int] = msgspec.field(default_factory=list)
    offered: list[int] = msgspec.field(default_factory=list)
    mostly_cold: bool = False
    attempts: int = 0
    timed_out: bool = False
    deadline: float = 0.0
    packet: Segment | None = None


class BalancerTransport(msgspec.Struct, frozen=True):
    """Ways out of a balancer.

    Attributes
    ----------
    send_to_agent : callable
        Called with a host and a datagram.
    send_to_caller : callable
        Called with a flow and a packet.
    """

    send_to_agent: Callable[[int, bytes], None]
    send_to_caller: Callable[[FlowKey, bytes], None]


class PacketSteering:
    """Sends each packet of a caller towards the agent that holds its flow.

    Parameters
    ----------
    host : int
    zone : str
    catalogue : Catalogue
    transport : BalancerTransport
    codec : PacketCodec
    metrics : Metrics
    """

    def __init__(
        self,
        *,
        host: int,
        zone: str,
        catalogue: Catalogue,
        transport: BalancerTransport,
        codec: PacketCodec,
        metrics: Metrics,
    ) -> None:
        self.zone = zone
        self.ingress = Ingress(host, zone_identifier(zone))
        self.catalogue = catalogue
        self.transport = transport
        self.codec = codec
        self.metrics = metrics
        self.agents = AgentTable()
        self.flow_cache: OrderedDict[FlowKey, CachedFlow] = OrderedDict()
        self.unresolved: dict[FlowKey, CachedFlow] = {}
        self.head_revision = -1
        self.forward_head = b""
        self.handlers = {
            MessageKind.ACCEPTED: self._receive_accepted,
            MessageKind.HELD: self._receive_held,
            MessageKind.REFUSED: self._receive_refused,
            MessageKind.NOT_HELD: self._receive_not_held,
            MessageKind.SEARCHING: self._receive_searching,
            MessageKind.LOAD_REPORT: self._receive_load_report,
            MessageKind.LEAVING: self._receive_leaving,
        }

    def try_forward(self, flow: FlowKey, packet: bytes, now: float) -> bool:
        """Forward a packet of a flow whose holder is known; tell whether it is."""
        entry = self.flow_cache.get(flow)
        if entry is None or not entry.holder:
            return False
        entry.last_seen_at = now
        self.flow_cache.move_to_end(flow)
        self.metrics.counters["packet.forwarded"] += 1
        if self.head_revision != self.catalogue.revision:
            self.head_revision = self.catalogue.revision
            self.forward_head = encode_message(
                MessageKind.FORWARD,
                b"",
                ingress=self.ingress,
                revision=self.head_revision,
            )
        self.transport.send_to_agent(entry.holder, self.forward_head + packet)
        return True

    def receive_from_caller(self, segment: Segment, now: float) -> None:
        """Forward one packet of a caller."""
        entry = self.flow_cache.get(segment.flow)
        if entry is not None:
            entry.last_seen_at = now
            self.flow_cache.move_to_end(segment.flow)
            reopens = segment.opens and entry.open
            if not reopens and self.try_forward(segment.flow, segment.raw, now):
                return
        if segment.opens:
            self._receive_first_packet(segment, entry, now)
        else:
            self._find_holder(segment, entry, now)

    def receive_message(self, message: Message, source: int, now: float) -> None:
        """Handle one datagram of an agent."""
        handler = self.handlers.get(message.kind)
        if handler is None:
            self.metrics.counters["drop.message_unexpected"] += 1
            return
        handler(message, source, now)

    def tick(self, now: float) -> None:
        """Make the attempts that are due."""
        due = [
            (flow, entry)
            for flow, entry in self.unresolved.items()
            if now >= entry.deadline
        ]
        for flow, entry in due:
            segment = entry.packet
            if segment is None or entry.attempts >= MAX_ATTEMPTS:
                self._give_up(flow, entry)
            elif segment.opens:
                self._record_timeouts("open_unanswered", flow, entry.offered[:1], now)
                self.metrics.counters["retry.place_timeout"] += 1
                entry.tried += entry.offered[:1]
                entry.timed_out = True
                self._place(segment, entry, now)
            else:
                self._record_timeouts("find_unanswered", flow, entry.tried[-1:], now)
                self.metrics.counters["retry.find_timeout"] += 1
                self._ask_home(segment, entry, now)

    def _record_timeouts(
        self, event: str, flow: FlowKey, agents: list[int], now: float
    ) -> None:
        """Note that the agent of an attempt did not answer."""
        for host in agents:
            heard_at = self.agents.get(host).last_message_at
            self.agents.record_timeout(host, now)
            log_event(
                event,
                flow=format_flow(flow),
                agent=format_host(host),
                heard_s_ago=round(now - heard_at, 3) if heard_at else None,
                revision=self.catalogue.revision,
            )

    def expire(self, now: float) -> None:
        """Forget flows that were unused for longer than flows live."""
        idle_s = self.catalogue.configuration.idle_timeout_s
        while self.flow_cache:
            flow, entry = next(iter(self.flow_cache.items()))
            if (
                now - entry.last_seen_at < idle_s
                and len(self.flow_cache) <= MAX_CACHED_FLOWS
            ):
                return
            del self.flow_cache[flow]
            self.unresolved.pop(flow, None)

    def _receive_first_packet(
        self, segment: Segment, entry: CachedFlow | None, now: float
    ) -> None:
        flow = segment.flow
        if entry is None or entry.open:
            entry = self._remember(flow, now)
        elif entry.packet is not None and entry.offered:
            # A copy repeats the placement that is in progress.
            self.metrics.counters["packet.opening_copy"] += 1
            self._send_first_packet(segment, entry)
            return
        self._place(segment, entry, now)

    def _place(self, segment: Segment, entry: CachedFlow, now: float) -> None:
        flow = segment.flow
        route = self.catalogue.routes.get(service_endpoint(flow))
        if route is None:
            self._reset(segment, "no_route")
            return
        targets, mostly_cold = self._choose_targets(route, entry, flow, now)
        if not targets:
            self._give_up_placing(segment, entry)
            return
        service = targets[0].service
        entry.offered = [target.host for target in targets]
        entry.service = service_identifier(service)
        entry.mostly_cold = mostly_cold
        entry.attempts += 1
        entry.packet = segment
        entry.deadline = now + PLACE_TIMEOUT_S
        self.unresolved[flow] = entry
        self.agents.get(entry.offered[0]).placed_since_report += 1
        self.metrics.counters["open.placed"] += 1
        log_event(
            "open_placed",
            flow=format_flow(flow),
            route=route.name,
            service=service,
            target=targets[0].name,
            attempt=entry.attempts,
            version=self.catalogue.configuration.version,
            revision=self.catalogue.revision,
        )
        self._send_first_packet(segment, entry)

    def _give_up_placing(self, segment: Segment, entry: CachedFlow) -> None:
        """Reset a flow that every target refused.

        An agent that did not answer may have placed the flow, so a reset could end
        an open flow. The caller's next copy then starts anew.
        """
        if entry.timed_out:
            self._give_up(segment.flow, entry)
        else:
            self._reset(segment, "no_target")

    def _give_up(self, flow: FlowKey, entry: CachedFlow) -> None:
        """Drop a packet after all attempts; the caller sends it again."""
        self.metrics.counters["drop.unanswered"] += 1
        log_event(
            "attempts_ended",
            flow=format_flow(flow),
            opens=entry.packet is not None and entry.packet.opens,
            attempts=entry.attempts,
            revision=self.catalogue.revision,
        )
        self._settle(flow, entry)

    def _choose_targets(
        self, route: Route, entry: CachedFlow, flow: FlowKey, now: float
    ) -> tuple[list[Target], bool]:
        """Return whom to try, the preferred first, and if their service is cold."""
        eligible = {
            service: self.catalogue.list_eligible_targets(service)
            for service in rank_services(route, flow)
        }
        ranked = [
            rank_targets(
                [target for target in targets if target.host not in entry.tried],
                flow=flow,
                zone=self.zone,
                agents=self.agents,
                now=now,
            )
            for targets in eligible.values()
        ]
        chosen = select_idle_service(ranked, agents=self.agents, now=now)
        mostly_cold = bool(chosen) and is_mostly_cold(eligible[chosen[0].service])
        return chosen[: MAX_ALTERNATES + 1], mostly_cold

    def _send_first_packet(self, segment: Segment, entry: CachedFlow) -> None:
        first, *alternates = entry.offered
        self._send(
            MessageKind.OPEN,
            first,
            encode_open_body(alternates, segment.raw),
            service=entry.service,
            detail=len(alternates) | (MOSTLY_COLD_FLAG if entry.mostly_cold else 0),
        )

    def _find_holder(
        self, segment: Segment, entry: CachedFlow | None, now: float
    ) -> None:
        flow = segment.flow
        if entry is None:
            entry = self._remember(flow, now)
        if flow in self.unresolved and entry.attempts < MAX_ATTEMPTS:
            # The search goes on; this packet joins it at the agent asked last.
            entry.packet = segment
            if entry.tried:
                self._send(MessageKind.FIND, entry.tried[-1], segment.raw)
                return
        entry.tried, entry.attempts = [], 0
        self._ask_home(segment, entry, now)

    def _ask_home(self, segment: Segment, entry: CachedFlow, now: float) -> None:
        home = self._choose_asked(segment.flow, entry.tried, now)
        if home is None:
            self.metrics.counters["drop.no_agent"] += 1
            self._settle(segment.flow, entry)
            return
        entry.tried.append(home)
        entry.attempts += 1
        entry.packet = segment
        entry.deadline = now + FIND_TIMEOUT_S
        self.unresolved[segment.flow] = entry
        self.metrics.counters["find.asked"] += 1
        self._send(MessageKind.FIND, home, segment.raw)

    def _choose_asked(self, flow: FlowKey, tried: list[int], now: float) -> int | None:
        """Return the agent to ask for a flow's holder: a home, else any other."""
        rings = self.catalogue.rings_by_zone
        for home in choose_homes(flow, self.ingress.zone, rings):
            if home not in tried and not self.agents.get(home).is_silent(now):
                return home
        silent = {
            host for host in self.agents.agents if self.agents.get(host).is_silent(now)
        }
        own = [ring for zone, ring in rings.items() if zone == self.ingress.zone]
        others = [ring for zone, ring in rings.items() if zone != self.ingress.zone]
        for skipped in (silent.union(tried), set(tried)):
            for ring in own + others:
                host = ring.find(flow, skip=skipped)
                if host is not None:
                    return host
        return None

    def _receive_accepted(self, message: Message, source: int, now: float) -> None:
        flow, load = decode_load_body(message.body)
        self.agents.record_load(source, load, now)
        entry = self.flow_cache.get(flow)
        if entry is None or entry.open:
            return
        if not entry.holder:
            entry.holder = source
            self.metrics.observe("placement", now - entry.started_at)
        self._settle(flow, entry)

    def _receive_held(self, message: Message, source: int, now: float) -> None:
        flow, load = decode_load_body(message.body)
        self.agents.record_load(source, load, now)
        entry = self.flow_cache.get(flow)
        if entry is None:
            entry = self._remember(flow, now)
        entry.holder = source
        entry.open = True
        self._settle(flow, entry)

    def _receive_refused(self, message: Message, source: int, now: float) -> None:
        """Try the targets that were not tried yet, or give the flow up."""
        segment = self.codec.parse_caller_packet(message.body)
        refusal = decode_refusal(message.detail)
        self.agents.record_refusal(source, refusal, now)
        self.metrics.counters[f"refused.{refusal.name.lower()}"] += 1
        entry = self.flow_cache.get(segment.flow)
        if entry is None or entry.holder:
            return
        entry.tried += entry.offered
        self._place(segment, entry, now)

    def _receive_not_held(self, message: Message, source: int, now: float) -> None:
        """Ask for the holder again: this balancer's hint was wrong."""
        segment = self.codec.parse_caller_packet(message.body)
        self.agents.record_message(source, now)
        self.metrics.counters["hint.wrong"] += 1
        entry = self.flow_cache.get(segment.flow)
        if entry is None:
            entry = self._remember(segment.flow, now)
        if entry.holder not in (0, source):
            self._send(MessageKind.FORWARD, entry.holder, segment.raw)
            return
        if entry.holder:
            entry.holder, entry.open = 0, False
            entry.tried, entry.attempts = [], 0
        if entry.attempts >= MAX_ATTEMPTS:
            return
        self._ask_home(segment, entry, now)

    def _receive_searching(self, message: Message, source: int, now: float) -> None:
        flow, load = decode_load_body(message.body)
        self.agents.record_load(source, load, now)
        entry = self.flow_cache.get(flow)
        if entry is not None:
            self.unresolved.pop(flow, None)
            entry.packet = None

    def _receive_load_report(self, message: Message, source: int, now: float) -> None:
        _, load = decode_load_body(message.body)
        self.agents.record_load(source, load, now)

    def _receive_leaving(self, message: Message, source: int, now: float) -> None:
        self.agents.record_leaving(source, now)
        log_event("agent_leaving", agent=format_host(source))

    def _remember(self, flow: FlowKey, now: float) -> CachedFlow:
        self.unresolved.pop(flow, None)
        entry = self.flow_cache[flow] = CachedFlow(now, now)
        self.flow_cache.move_to_end(flow)
        return entry

    def _settle(self, flow: FlowKey, entry: CachedFlow) -> None:
        self.unresolved.pop(flow, None)
        entry.packet = None
        entry.deadline = 0.0
        entry.attempts = 0
        entry.tried, entry.offered = [], []

    def _reset(self, segment: Segment, reason: str) -> None:
        flow = segment.flow
        self.flow_cache.pop(flow, None)
        self.unresolved.pop(flow, None)
        send_reset(
            flow,
            segment.acknowledged,
            reason,
            catalogue=self.catalogue,
            codec=self.codec,
            metrics=self.metrics,
            send_to_caller=self.transport.send_to_caller,
        )

    def _send(
        self,
        kind: int,
        host: int,
        body: bytes,
        *,
        service: int = 0,
        detail: int = 0,
    ) -> None:
        datagram = encode_message(
            kind,
            body,
            ingress=self.ingress,
            revision=self.catalogue.revision,
            service=service,
            detail=detail,
        )
        self.transport.send_to_agent(host, datagram)
