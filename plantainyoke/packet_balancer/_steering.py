"""Steering of callers' packets by a balancer.

Places the first packet of a flow on a target, forwards later packets to the agent that
holds the flow, and finds the holder if the balancer does not know it. The module reads
no clock and no socket: the time and the functions that send are arguments, so that
tests can replay any load.
"""

from collections import OrderedDict
from collections.abc import Callable

import msgspec

from plantainyoke.catalogue import Catalogue, Route, Target
from plantainyoke.flows import (
    MAX_ALTERNATES,
    FlowKey,
    FlowRefusal,
    Ingress,
    Message,
    MessageKind,
    Segment,
    choose_homes,
    decode_load_body,
    decode_refusal,
    encode_message,
    encode_open_body,
    encode_open_detail,
    format_flow,
    get_service_endpoint,
)
from plantainyoke.hashing import compute_service_id, compute_zone_id
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

PLACE_TIMEOUT_S = 0.06  # a target accepts within 10 ms, also in another zone
FIND_TIMEOUT_S = 0.06
MAX_ATTEMPTS = 4  # attempts for one packet, each at another agent
MAX_CACHED_FLOWS = 200_000  # about 100 MB


class CachedFlow(msgspec.Struct):
    """State of one flow in a balancer's cache.

    Attributes
    ----------
    last_seen_at : float
        Time of the flow's last packet from the caller.
    created_at : float
        Time at which the entry was created.
    holder : int
        Host of the agent that holds the flow, 0 if unknown.
    is_open : bool
        Whether the holder reported the flow as open.
    service : int
        Identifier of the service that was selected for the flow.
    tried_hosts : list of int
        Hosts of the agents that refused the first packet, did not answer it in time,
        or were asked for the holder.
    offered_hosts : list of int
        Hosts of the agents in the current placement: the first, then its alternates.
    mostly_cold : bool
        Whether at least half of the service's targets were in cold start at the last
        attempt.
    may_wait : bool
        Whether the flow may wait at an agent, because busy ones refused it.
    attempts : int
        Number of attempts so far to place the flow or to find its holder.
    timed_out : bool
        Whether an agent did not answer the first packet in time.
    deadline : float
        Time at which the next attempt is due, 0 if there is none.
    pending_segment : Segment or None
        Packet that is not placed yet or whose holder is not found yet.
    """

    last_seen_at: float
    created_at: float
    holder: int = 0
    is_open: bool = False
    service: int = 0
    tried_hosts: list[int] = msgspec.field(default_factory=list)
    offered_hosts: list[int] = msgspec.field(default_factory=list)
    mostly_cold: bool = False
    may_wait: bool = False
    attempts: int = 0
    timed_out: bool = False
    deadline: float = 0.0
    pending_segment: Segment | None = None


class BalancerTransport(msgspec.Struct, frozen=True):
    """Functions with which a balancer sends.

    Attributes
    ----------
    send_to_agent : callable
        Sends a datagram to the agent of a host; called with the host and the datagram.
    send_to_caller : callable
        Sends a packet to the caller of a flow; called with the flow and the packet.
    """

    send_to_agent: Callable[[int, bytes], None]
    send_to_caller: Callable[[FlowKey, bytes], None]


class PacketSteering:
    """Forwards each packet of a caller to the agent that holds its flow.

    Parameters
    ----------
    host : int
        Address of the balancer's host, as an integer.
    zone : str
        Zone of the balancer.
    catalogue : Catalogue
    transport : BalancerTransport
    codec : PacketCodec
    metrics : Metrics

    Attributes
    ----------
    agents : AgentTable
        States of the agents, by their messages to this balancer.
    flow_cache : OrderedDict of bytes to CachedFlow
        Flows by key, the least recently used first.
    unresolved : dict of bytes to CachedFlow
        Flows of the cache that wait for an agent's answer.
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
        self.ingress = Ingress(host, compute_zone_id(zone))
        self.catalogue = catalogue
        self.transport = transport
        self.codec = codec
        self.metrics = metrics
        self.agents = AgentTable()
        self.flow_cache: OrderedDict[FlowKey, CachedFlow] = OrderedDict()
        self.unresolved: dict[FlowKey, CachedFlow] = {}
        self.header_revision = -1
        self.forward_header = b""
        self.handlers = {
            MessageKind.ACCEPTED: self._receive_accepted,
            MessageKind.HELD: self._receive_held,
            MessageKind.REFUSED: self._receive_refused,
            MessageKind.NOT_HELD: self._receive_not_held,
            MessageKind.SEARCHING: self._receive_searching,
            MessageKind.LOAD_REPORT: self._receive_load_report,
            MessageKind.LEAVING: self._receive_leaving,
            MessageKind.WAITING: self._receive_waiting,
        }

    def try_forward(self, flow: FlowKey, packet: bytes, now: float) -> bool:
        """Forward a packet if the holder of its flow is cached.

        Parameters
        ----------
        flow : bytes
            Key of the flow.
        packet : bytes
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether the packet was forwarded.
        """
        entry = self.flow_cache.get(flow)
        if entry is None or not entry.holder:
            return False
        entry.last_seen_at = now
        self.flow_cache.move_to_end(flow)
        self.metrics.counters["packet.forwarded"] += 1
        if self.header_revision != self.catalogue.revision:
            self.header_revision = self.catalogue.revision
            self.forward_header = encode_message(
                MessageKind.FORWARD,
                b"",
                ingress=self.ingress,
                revision=self.header_revision,
            )
        self.transport.send_to_agent(entry.holder, self.forward_header + packet)
        return True

    def receive_from_caller(self, segment: Segment, now: float) -> None:
        """Forward a packet of a caller, place its flow, or find its holder."""
        entry = self.flow_cache.get(segment.flow)
        if entry is not None:
            entry.last_seen_at = now
            self.flow_cache.move_to_end(segment.flow)
            is_reopening = segment.opens and entry.is_open
            if not is_reopening and self.try_forward(segment.flow, segment.raw, now):
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
        """Retry the placements and inquiries whose deadline has passed."""
        due = [
            (flow, entry)
            for flow, entry in self.unresolved.items()
            if now >= entry.deadline
        ]
        for flow, entry in due:
            segment = entry.pending_segment
            if segment is None or entry.attempts >= MAX_ATTEMPTS:
                self._end_attempts(flow, entry)
            elif segment.opens:
                self._record_timeouts(
                    "open_unanswered", flow, entry.offered_hosts[:1], now
                )
                self.metrics.counters["retry.place_timeout"] += 1
                entry.tried_hosts += entry.offered_hosts[:1]
                entry.timed_out = True
                self._place(segment, entry, now)
            else:
                self._record_timeouts(
                    "find_unanswered", flow, entry.tried_hosts[-1:], now
                )
                self.metrics.counters["retry.find_timeout"] += 1
                self._ask_for_holder(segment, entry, now)

    def _record_timeouts(
        self, event: str, flow: FlowKey, hosts: list[int], now: float
    ) -> None:
        """Record and log that the agents of an attempt did not answer in time."""
        for host in hosts:
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
        """Remove flows that exceeded the idle timeout or the size of the cache."""
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
        if entry is None or entry.is_open:
            entry = self._add_entry(flow, now)
        elif entry.pending_segment is not None and entry.offered_hosts:
            # A retransmission repeats the attempt in progress at the same agents.
            self.metrics.counters["packet.opening_copy"] += 1
            self._send_first_packet(segment, entry)
            return
        self._place(segment, entry, now)

    def _place(self, segment: Segment, entry: CachedFlow, now: float) -> None:
        flow = segment.flow
        route = self.catalogue.routes.get(get_service_endpoint(flow))
        if route is None:
            self._reset(segment, "no_route")
            return
        targets, mostly_cold = self._choose_targets(route, entry, flow, now)
        if not targets:
            self._end_placement(segment, entry)
            return
        service = targets[0].service
        entry.offered_hosts = [target.host for target in targets]
        entry.service = compute_service_id(service)
        entry.mostly_cold = mostly_cold
        entry.attempts += 1
        entry.pending_segment = segment
        entry.deadline = now + PLACE_TIMEOUT_S
        self.unresolved[flow] = entry
        self.agents.get(entry.offered_hosts[0]).placed_since_report += 1
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

    def _end_placement(self, segment: Segment, entry: CachedFlow) -> None:
        """Reset a flow that every target refused.

        If an agent timed out, the flow is not reset: the agent may have placed it, so
        a reset could end an open flow. The caller's next retransmission then starts a
        new placement.
        """
        if entry.timed_out:
            self._end_attempts(segment.flow, entry)
        else:
            self._reset(segment, "no_target")

    def _end_attempts(self, flow: FlowKey, entry: CachedFlow) -> None:
        """Drop a packet after its last attempt; the caller retransmits it."""
        self.metrics.counters["drop.unanswered"] += 1
        log_event(
            "attempts_ended",
            flow=format_flow(flow),
            opens=entry.pending_segment is not None and entry.pending_segment.opens,
            attempts=entry.attempts,
            revision=self.catalogue.revision,
        )
        self._clear_attempts(flow, entry)

    def _choose_targets(
        self, route: Route, entry: CachedFlow, flow: FlowKey, now: float
    ) -> tuple[list[Target], bool]:
        """Return targets, the preferred first, and whether their service is cold."""
        eligible = {
            service: self.catalogue.list_eligible_targets(service)
            for service in rank_services(route, flow)
        }
        ranked = [
            rank_targets(
                [target for target in targets if target.host not in entry.tried_hosts],
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
        first, *alternates = entry.offered_hosts
        self._send(
            MessageKind.OPEN,
            first,
            encode_open_body(alternates, segment.raw),
            service=entry.service,
            detail=encode_open_detail(
                len(alternates), mostly_cold=entry.mostly_cold, may_wait=entry.may_wait
            ),
        )

    def _find_holder(
        self, segment: Segment, entry: CachedFlow | None, now: float
    ) -> None:
        flow = segment.flow
        if entry is None:
            entry = self._add_entry(flow, now)
        if flow in self.unresolved and entry.attempts < MAX_ATTEMPTS:
            # An inquiry is in progress: the agent that was asked last also gets this
            # packet.
            entry.pending_segment = segment
            if entry.tried_hosts:
                self._send(MessageKind.FIND, entry.tried_hosts[-1], segment.raw)
                return
        entry.tried_hosts, entry.attempts = [], 0
        self._ask_for_holder(segment, entry, now)

    def _ask_for_holder(self, segment: Segment, entry: CachedFlow, now: float) -> None:
        host = self._select_agent_to_ask(segment.flow, entry.tried_hosts, now)
        if host is None:
            self.metrics.counters["drop.no_agent"] += 1
            self._clear_attempts(segment.flow, entry)
            return
        entry.tried_hosts.append(host)
        entry.attempts += 1
        entry.pending_segment = segment
        entry.deadline = now + FIND_TIMEOUT_S
        self.unresolved[segment.flow] = entry
        self.metrics.counters["find.asked"] += 1
        self._send(MessageKind.FIND, host, segment.raw)

    def _select_agent_to_ask(
        self, flow: FlowKey, tried_hosts: list[int], now: float
    ) -> int | None:
        """Select the agent to ask for the holder of a flow.

        The flow's homes come first, then other agents of the balancer's zone, then
        agents of other zones. Silent agents are asked only if no other agent remains,
        and those in `tried_hosts` not at all.
        """
        rings = self.catalogue.rings_by_zone
        for home in choose_homes(flow, self.ingress.zone, rings):
            if home not in tried_hosts and not self.agents.get(home).is_silent(now):
                return home
        silent_hosts = {
            host for host in self.agents.agents if self.agents.get(host).is_silent(now)
        }
        local_rings = [
            ring for zone, ring in rings.items() if zone == self.ingress.zone
        ]
        remote_rings = [
            ring for zone, ring in rings.items() if zone != self.ingress.zone
        ]
        for skipped in (silent_hosts.union(tried_hosts), set(tried_hosts)):
            for ring in local_rings + remote_rings:
                host = ring.find(flow, skip=skipped)
                if host is not None:
                    return host
        return None

    def _receive_accepted(self, message: Message, source: int, now: float) -> None:
        flow, load = decode_load_body(message.body)
        self.agents.record_load(source, load, now)
        entry = self.flow_cache.get(flow)
        if entry is None or entry.is_open:
            return
        if not entry.holder:
            entry.holder = source
            self.metrics.observe("placement", now - entry.created_at)
        self._clear_attempts(flow, entry)

    def _receive_held(self, message: Message, source: int, now: float) -> None:
        flow, load = decode_load_body(message.body)
        self.agents.record_load(source, load, now)
        entry = self.flow_cache.get(flow)
        if entry is None:
            entry = self._add_entry(flow, now)
        entry.holder = source
        entry.is_open = True
        self._clear_attempts(flow, entry)

    def _receive_refused(self, message: Message, source: int, now: float) -> None:
        """Retry at targets that were not tried yet, or end the placement."""
        segment = self.codec.parse_caller_packet(message.body)
        refusal = decode_refusal(message.detail)
        self.agents.record_refusal(source, refusal, now)
        self.metrics.counters[f"refused.{refusal.name.lower()}"] += 1
        entry = self.flow_cache.get(segment.flow)
        if entry is None or entry.holder:
            return
        if refusal == FlowRefusal.BUSY and not entry.may_wait:
            # The best targets are busy, so the others are no better: the flow waits
            # at one of the best.
            entry.may_wait = True
        else:
            entry.tried_hosts += entry.offered_hosts
        self._place(segment, entry, now)

    def _receive_not_held(self, message: Message, source: int, now: float) -> None:
        """Handle a packet that an agent returned because it does not hold the flow.

        The holder in this balancer's cache was wrong. The packet goes to the current
        holder if another one was reported meanwhile; otherwise the balancer asks for
        the holder again.
        """
        segment = self.codec.parse_caller_packet(message.body)
        self.agents.record_message(source, now)
        self.metrics.counters["hint.wrong"] += 1
        entry = self.flow_cache.get(segment.flow)
        if entry is None:
            entry = self._add_entry(segment.flow, now)
        if entry.holder not in (0, source):
            self._send(MessageKind.FORWARD, entry.holder, segment.raw)
            return
        if entry.holder:
            entry.holder, entry.is_open = 0, False
            entry.tried_hosts, entry.attempts = [], 0
        if entry.attempts >= MAX_ATTEMPTS:
            return
        self._ask_for_holder(segment, entry, now)

    def _receive_searching(self, message: Message, source: int, now: float) -> None:
        flow, load = decode_load_body(message.body)
        self.agents.record_load(source, load, now)
        entry = self.flow_cache.get(flow)
        if entry is not None:
            self.unresolved.pop(flow, None)
            entry.pending_segment = None

    def _receive_waiting(self, message: Message, source: int, now: float) -> None:
        """Stop the timeout of a first packet that waits at an agent.

        Retransmissions go to the same agent.
        """
        flow, load = decode_load_body(message.body)
        self.agents.record_load(source, load, now)
        entry = self.flow_cache.get(flow)
        if entry is not None and not entry.holder:
            self.unresolved.pop(flow, None)
            entry.offered_hosts = [source]

    def _receive_load_report(self, message: Message, source: int, now: float) -> None:
        _, load = decode_load_body(message.body)
        self.agents.record_load(source, load, now)

    def _receive_leaving(self, message: Message, source: int, now: float) -> None:
        self.agents.record_leaving(source, now)
        log_event("agent_leaving", agent=format_host(source))

    def _add_entry(self, flow: FlowKey, now: float) -> CachedFlow:
        self.unresolved.pop(flow, None)
        entry = self.flow_cache[flow] = CachedFlow(now, now)
        self.flow_cache.move_to_end(flow)
        return entry

    def _clear_attempts(self, flow: FlowKey, entry: CachedFlow) -> None:
        self.unresolved.pop(flow, None)
        entry.pending_segment = None
        entry.deadline = 0.0
        entry.attempts = 0
        entry.tried_hosts, entry.offered_hosts = [], []
        entry.may_wait = False

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
