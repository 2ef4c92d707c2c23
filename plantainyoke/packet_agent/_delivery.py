"""Decisions of an agent about the packets of its target's flows.

Nothing here reads a clock or a socket: time and the ways out are arguments, so that
a test replays any load.
"""

import msgspec

from plantainyoke.catalogue import Catalogue, Target
from plantainyoke.flows import (
    MAX_HOPS,
    MOSTLY_COLD_FLAG,
    FlowKey,
    FlowRefusal,
    FlowTable,
    HalfOpenFlow,
    HeldFlow,
    Ingress,
    Load,
    Message,
    MessageKind,
    Segment,
    decode_flow_key,
    decode_load_body,
    decode_open_body,
    encode_load_body,
    encode_open_body,
    format_flow,
    service_endpoint,
)
from plantainyoke.network import format_host
from plantainyoke.packet_agent._finder import HolderFinder
from plantainyoke.packet_agent._sender import AgentTransport, MessageSender
from plantainyoke.packet_node import PacketCodec
from plantainyoke.placement import FlowAdmission
from plantainyoke.telemetry import Metrics, log_event

REPORTS_AT_A_TIME = 8  # 2 KB a second with four reports a second
REPORTED_S = 2.0  # balancers heard from within this time get load reports
RESETS_PER_TICK = 200  # flows of a lost incarnation that are reset at a time
BIRTH_MARGIN_S = 0.5  # clocks of the target's entry and of this process


class Inquiry(msgspec.Struct):
    """A packet given to the target to learn whether it holds the flow.

    Attributes
    ----------
    asker : int
        Host that sent the packet here.
    ingress : Ingress
    asked_at : float
    """

    asker: int
    ingress: Ingress
    asked_at: float


class PacketDelivery:
    """Gives packets to the target and knows which flows it holds.

    Parameters
    ----------
    host : int
    catalogue : Catalogue
    admission : FlowAdmission
    transport : AgentTransport
    codec : PacketCodec
    metrics : Metrics
    recovery_until : float
        Time up to which the target may hold flows from before this process
        started; unknown flows are offered to it until then.

    Attributes
    ----------
    balancers : dict of int to float
        When each balancer was heard last.
    now : float
        Time of the event that is being handled.
    """

    def __init__(
        self,
        *,
        host: int,
        catalogue: Catalogue,
        admission: FlowAdmission,
        transport: AgentTransport,
        codec: PacketCodec,
        metrics: Metrics,
        recovery_until: float,
    ) -> None:
        self.host = host
        self.catalogue = catalogue
        self.admission = admission
        self.transport = transport
        self.codec = codec
        self.metrics = metrics
        self.recovery_until = recovery_until
        self.flow_table = FlowTable()
        self.inquiries: dict[FlowKey, Inquiry] = {}
        self.balancers: dict[int, float] = {}
        self.to_reset: list[FlowKey] = []
        self.incarnation: tuple[str, int] | None = None
        self.now = 0.0
        self.sender = MessageSender(
            host=host,
            catalogue=catalogue,
            transport=transport,
            codec=codec,
            metrics=metrics,
            load=self.load,
        )
        self.finder = HolderFinder(
            host=host,
            catalogue=catalogue,
            sender=self.sender,
            metrics=metrics,
            probe_target=self._probe_target,
        )
        self.handlers = {
            MessageKind.OPEN: self._receive_open,
            MessageKind.FORWARD: self._receive_forward,
            MessageKind.FIND: self._receive_find,
            MessageKind.PROBE: self._receive_forward,
            MessageKind.NOT_HELD: self._receive_not_held,
            MessageKind.HELD: self._receive_held,
            MessageKind.REGISTER_HOLDER: self._receive_register_holder,
        }

    # Messages of balancers and other agents.

    def receive_message(self, message: Message, source: int, now: float) -> None:
        """Handle one datagram of a balancer or another agent."""
        self.now = now
        handler = self.handlers.get(message.kind)
        if handler is None:
            self.metrics.counters["drop.message_unexpected"] += 1
            return
        if message.hops > MAX_HOPS:
            self.metrics.counters["drop.hops"] += 1
            return
        if message.ingress.host == source:
            self.balancers[source] = now
        handler(message, source)

    def _receive_open(self, message: Message, source: int) -> None:
        alternates, packet = decode_open_body(message.detail, message.body)
        segment = self.codec.parse_caller_packet(packet)
        flow = segment.flow
        held = self.flow_table.flows.get(flow)
        if flow in self.flow_table.half_open or (
            held is not None and not held.is_closing
        ):
            self.metrics.counters["open.copy"] += 1
            self.transport.send_to_target(packet)
            return
        count = len(self.flow_table.flows)
        mostly_cold = bool(message.detail & MOSTLY_COLD_FLAG)
        refusal = self.admission.admit_flow(
            message.service,
            count,
            self.now,
            mostly_cold=mostly_cold,
            in_flight=self.flow_table.in_flight + len(self.flow_table.half_open),
            aim_s=self._aim_s(flow),
        )
        half_open = HalfOpenFlow(
            self.now,
            message.ingress,
            message.service,
            alternates,
            packet,
            message.hops,
            mostly_cold,
        )
        if refusal != FlowRefusal.NONE:
            self._pass_on(flow, half_open, refusal)
            return
        self.metrics.counters["open.given"] += 1
        self.flow_table.add_half_open(flow, half_open)
        self.admission.record_first_packet(self.now)
        self.transport.send_to_target(packet)

    def _pass_on(
        self, flow: FlowKey, half_open: HalfOpenFlow, refusal: FlowRefusal
    ) -> None:
        """Give a flow's first packet to the next alternate, or return it."""
        reason = refusal.name.lower()
        following = half_open.alternates[0] if half_open.alternates else None
        self.metrics.counters[f"refused.{reason}"] += 1
        log_event(
            "open_refused",
            flow=format_flow(flow),
            reason=reason,
            passed_to=format_host(following) if following else None,
            revision=self.catalogue.revision,
            flows=len(self.flow_table.flows),
        )
        if following is None or half_open.hops >= MAX_HOPS:
            self.sender.send(
                MessageKind.REFUSED,
                half_open.ingress.host,
                half_open.packet,
                ingress=half_open.ingress,
                detail=refusal,
            )
            return
        rest = half_open.alternates[1:]
        self.sender.send(
            MessageKind.OPEN,
            following,
            encode_open_body(rest, half_open.packet),
            ingress=half_open.ingress,
            service=half_open.service,
            hops=half_open.hops + 1,
            detail=len(rest) | (MOSTLY_COLD_FLAG if half_open.mostly_cold else 0),
        )

    def _receive_forward(self, message: Message, source: int) -> None:
        segment = self.codec.parse_caller_packet(message.body)
        self._deliver(segment, message, source)

    def _deliver(self, segment: Segment, message: Message, source: int) -> None:
        """Give a packet to the target if it holds the flow, or may hold it."""
        flow = segment.flow
        held = self.flow_table.flows.get(flow)
        if held is None:
            held = self._open_if_confirmed(segment, message, source)
        if held is not None:
            if source != message.ingress.host or message.kind != MessageKind.FORWARD:
                self.sender.send_held(flow, message.ingress, source)
            self.flow_table.record_caller_packet(
                held, segment, ingress=message.ingress, now=self.now
            )
            self.metrics.counters["packet.delivered"] += 1
            self.transport.send_to_target(segment.raw)
            if segment.resets:
                self.flow_table.remove(flow)
            return
        if segment.opens and flow in self.flow_table.half_open:
            self.transport.send_to_target(segment.raw)
            return
        if self.now < self.recovery_until and flow not in self.flow_table.half_open:
            self.metrics.counters["packet.inquired"] += 1
            self.inquiries[flow] = Inquiry(source, message.ingress, self.now)
            self.transport.send_to_target(segment.raw)
            return
        self.metrics.counters["packet.not_held"] += 1
        self._deny(segment.raw, source, message.ingress)

    def _open_if_confirmed(
        self, segment: Segment, message: Message, source: int
    ) -> HeldFlow | None:
        """Return the flow if this packet acknowledges the target's acceptance."""
        half_open = self.flow_table.half_open.get(segment.flow)
        if half_open is None or segment.opens or not segment.has_acknowledged:
            return None
        answered = half_open.acceptance_sequence
        if answered is None or segment.acknowledged != (answered + 1) & 0xFFFFFFFF:
            return None
        held = self._add_held(segment.flow, message.ingress)
        # Who placed the flow here and forwards to this agent knows the holder.
        if message.kind != MessageKind.FORWARD or source != half_open.ingress.host:
            self.sender.send_held(segment.flow, message.ingress, source)
        return held

    def _add_held(self, flow: FlowKey, ingress: Ingress) -> HeldFlow:
        held = self.flow_table.add_held(flow, ingress=ingress, now=self.now)
        self.metrics.counters["flow.opened"] += 1
        target = self.admission.target
        log_event(
            "flow_held",
            flow=format_flow(flow),
            target=target.name if target else None,
            version=self.catalogue.configuration.version,
            revision=self.catalogue.revision,
            flows=len(self.flow_table.flows),
            in_flight=self.flow_table.in_flight,
        )
        self.finder.register_holder(flow, held)
        return held

    def _deny(self, packet: bytes, asker: int, ingress: Ingress) -> None:
        """Tell who asked that the target does not hold the flow."""
        if asker == self.host:
            segment = self.codec.parse_caller_packet(packet)
            self.finder.record_denial(segment, self.host, ingress, self.now)
            return
        self.sender.send(MessageKind.NOT_HELD, asker, packet, ingress=ingress)

    # Homes and searches.

    def _receive_find(self, message: Message, source: int) -> None:
        segment = self.codec.parse_caller_packet(message.body)
        flow = segment.flow
        if flow in self.flow_table.flows or self._open_if_confirmed(
            segment, message, source
        ):
            self._deliver(segment, message, source)
            return
        self.finder.forward_to_holder(segment, message, self.now)

    def _receive_not_held(self, message: Message, source: int) -> None:
        segment = self.codec.parse_caller_packet(message.body)
        self.finder.record_denial(segment, source, message.ingress, self.now)

    def _receive_held(self, message: Message, source: int) -> None:
        flow, _ = decode_load_body(message.body)
        self.finder.record_holder(flow, source, self.now)

    def _receive_register_holder(self, message: Message, source: int) -> None:
        self.finder.record_holder(decode_flow_key(message.body), source, self.now)

    def _probe_target(self, segment: Segment, message: Message) -> None:
        self._deliver(segment, message, self.host)

    # The target.

    def receive_from_target(self, segment: Segment, now: float) -> None:
        """Handle one packet that the target sent."""
        self.now = now
        if segment.bounced:
            self._receive_bounced(segment)
            return
        self.admission.record_target_packet()
        flow = segment.flow
        self.transport.send_to_caller(flow, segment.raw)
        if segment.opens:
            self._receive_acceptance(segment)
            return
        held = self.flow_table.flows.get(flow)
        if held is None:
            if segment.resets:
                self.inquiries.pop(flow, None)
                self.flow_table.remove(flow)
                return
            held = self._claim(flow)
        elapsed = self.flow_table.record_target_packet(held, segment, self.now)
        if elapsed is not None:
            self._record_answer(held, elapsed)
        if segment.resets:
            self.metrics.counters["flow.reset_by_target"] += 1
            log_event("flow_reset_by_target", flow=format_flow(flow))
            self.flow_table.remove(flow)

    def _receive_acceptance(self, segment: Segment) -> None:
        flow = segment.flow
        half_open = self.flow_table.half_open.get(flow)
        if half_open is None:
            return
        half_open.acceptance_sequence = segment.sequence
        self.sender.send_flow(
            MessageKind.ACCEPTED, half_open.ingress.host, flow, half_open.ingress
        )

    def _claim(self, flow: FlowKey) -> HeldFlow:
        """Hold a flow that the target showed to have."""
        inquiry = self.inquiries.pop(flow, None)
        ingress = inquiry.ingress if inquiry else Ingress()
        held = self._add_held(flow, ingress)
        asker = inquiry.asker if inquiry else 0
        self.sender.send_held(flow, ingress, asker)
        self.metrics.counters["flow.recovered"] += 1
        self.finder.searches.finish(flow)
        return held

    def _receive_bounced(self, segment: Segment) -> None:
        flow = segment.flow
        packet = self.codec.clear_bounced_flag(segment.raw)
        half_open = self.flow_table.half_open.pop(flow, None)
        if half_open is not None and segment.opens:
            self.admission.record_target_packet()
            self._pass_on(flow, half_open, FlowRefusal.REJECTED)
            return
        inquiry = self.inquiries.pop(flow, None)
        if inquiry is not None:
            self._deny(packet, inquiry.asker, inquiry.ingress)
            return
        held = self.flow_table.remove(flow)
        if held is not None:
            # The target held the flow and lost it: it was started again.
            self.sender.reset_flow(flow, segment.acknowledged, "target_lost_flow")
            return
        self.metrics.counters["drop.bounced"] += 1

    # Load, time and the end.

    def load(self) -> Load:
        """Return the load of the target."""
        target = self.admission.target
        count = len(self.flow_table.flows)
        return Load(
            count,
            self.flow_table.in_flight,
            target.slots if target else 1,
            self.admission.current_refusal(count, self.now),
            round(self.admission.work_time.work_time_s * 1_000_000),
        )

    def send_load_reports(self, now: float) -> None:
        """Send the load to the balancers that use this agent."""
        self.now = now
        for balancer, heard_at in list(self.balancers.items()):
            if self.now - heard_at > REPORTED_S:
                del self.balancers[balancer]
        body = encode_load_body(b"", self.load())
        for balancer in list(self.balancers)[:REPORTS_AT_A_TIME]:
            self.sender.send(
                MessageKind.LOAD_REPORT, balancer, body, ingress=Ingress(balancer)
            )
            # The others come first next time.
            self.balancers[balancer] = self.balancers.pop(balancer)

    def announce_leaving(self) -> None:
        """Tell balancers that this process stops while its target may stay."""
        self.admission.leaving = True
        for balancer in self.balancers:
            self.sender.send(
                MessageKind.LEAVING, balancer, b"", ingress=Ingress(balancer)
            )

    def handle_target_change(self, now: float, *, unix_s: float) -> None:
        """Handle a change of the published targets.

        Homes are told again, and the flows of an earlier incarnation of the target
        are reset before their callers send requests into them.

        Parameters
        ----------
        now : float
        unix_s : float
            Time of day, for the age of the target.
        """
        self.now = now
        self.finder.homes_to_update = list(self.flow_table.flows)
        target = self.admission.target
        if target is None:
            return
        incarnation = target.name, target.born_ms
        if self.incarnation not in (None, incarnation):
            self._plan_resets(target, unix_s)
        self.incarnation = incarnation

    def _plan_resets(self, target: Target, unix_s: float) -> None:
        """Plan the resets of flows that are older than the target.

        The entry of a new incarnation appears within a heartbeat; when the store was
        away, only the time of birth tells how old it is.
        """
        age_s = max(
            unix_s - target.born_ms / 1000 + BIRTH_MARGIN_S,
            2 * self.admission.heartbeat_s,
        )
        self.to_reset = [
            flow
            for flow, held in self.flow_table.flows.items()
            if self.now - held.opened_at > age_s
        ]
        log_event(
            "target_started_again",
            target=target.name,
            age_s=round(age_s, 2),
            flows_lost=len(self.to_reset),
        )

    def tick(self, now: float) -> None:
        """Forget what is old, tell new homes, and reset lost flows."""
        self.now = now
        self.flow_table.expire(now, self.catalogue.configuration.idle_timeout_s)
        self.finder.tick(self.flow_table.flows, now)
        stale = [
            flow
            for flow, inquiry in self.inquiries.items()
            if now - inquiry.asked_at > REPORTED_S
        ]
        for flow in stale:
            del self.inquiries[flow]
        for flow in self.to_reset[:RESETS_PER_TICK]:
            held = self.flow_table.remove(flow)
            if held is not None:
                self.sender.reset_flow(flow, held.acknowledged, "target_started_again")
        del self.to_reset[:RESETS_PER_TICK]

    def _record_answer(self, held: HeldFlow, elapsed: float) -> None:
        target = self.admission.target
        slots = target.slots if target else 1
        self.metrics.observe("answer", elapsed)
        self.admission.work_time.record_answer(
            elapsed, in_flight=held.in_flight_at_request, slots=slots
        )

    def _aim_s(self, flow: FlowKey) -> float:
        route = self.catalogue.routes.get(service_endpoint(flow))
        return route.aim_s if route else 0.0
