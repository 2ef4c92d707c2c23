"""Decisions of an agent about the packets of its target's flows.

`PacketDelivery` handles the messages of balancers and other agents and the packets of
the target. For each it decides whether to deliver, refuse, deny or reset.

Nothing here reads a clock or a socket: time and the transport are arguments, so that a
test can replay any load.
"""

import msgspec

from plantainyoke.catalogue import Catalogue
from plantainyoke.flows import (
    MAX_HOPS,
    FlowKey,
    FlowRefusal,
    FlowTable,
    HeldFlow,
    Ingress,
    Knowledge,
    Message,
    MessageKind,
    Segment,
    decode_flow_key,
    decode_knowledge,
    decode_load_body,
    decode_open_body,
    format_flow,
)
from plantainyoke.packet_agent._ejection import TargetEjector
from plantainyoke.packet_agent._finder import HolderFinder
from plantainyoke.packet_agent._flow_knowledge import FlowKnowledge
from plantainyoke.packet_agent._incarnation import IncarnationTracker
from plantainyoke.packet_agent._load_reports import LoadReporter
from plantainyoke.packet_agent._lost_flows import LostFlowProber
from plantainyoke.packet_agent._observation import TargetObserver
from plantainyoke.packet_agent._opening import FlowOpener
from plantainyoke.packet_agent._relay import AgentRelay
from plantainyoke.packet_agent._sender import AgentTransport, MessageSender
from plantainyoke.packet_agent._target_probes import TargetProbe, expire_target_probes
from plantainyoke.packet_node import ALL_FEATURES, FeatureSettings, PacketCodec
from plantainyoke.placement import COLD_WINDOW_S, FlowAdmission
from plantainyoke.telemetry import Metrics, log_event


class PacketDelivery:
    """Delivers packets to the target and keeps the table of the flows that it holds.

    Parameters
    ----------
    host : int
        Host of the agent.
    catalogue : Catalogue
    admission : FlowAdmission
    transport : AgentTransport
    codec : PacketCodec
    metrics : Metrics
    started_at : float
        Time at which this process started, in seconds.
    complete_since : float
        Time from which on this process sees every packet of the target's flows;
        negative infinity if the target holds none that are older.
    configuration_apply_s : float
        Time within which a published configuration is in force.
    features : FeatureSettings, optional
        By default all features are on.

    Attributes
    ----------
    flow_table : FlowTable
        Flows of the target.
    target_probes : dict of bytes to TargetProbe
        Packets of unknown flows that were sent to the target, by flow.
    balancers : dict of int to float
        Time at which each balancer was heard last, by host.
    incarnations : IncarnationTracker
    knowledge : FlowKnowledge
    observer : TargetObserver
    ejector : TargetEjector
    now : float
        Time of the event that is being handled, in seconds.
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
        started_at: float,
        complete_since: float,
        configuration_apply_s: float,
        features: FeatureSettings = ALL_FEATURES,
    ) -> None:
        self.host = host
        self.catalogue = catalogue
        self.admission = admission
        self.transport = transport
        self.codec = codec
        self.metrics = metrics
        self.features = features
        self.flow_table = FlowTable(complete_since=complete_since)
        if complete_since > float("-inf"):
            admission.cold_start_limiter.blocked_until = started_at + COLD_WINDOW_S
        self.knowledge = FlowKnowledge(
            catalogue=catalogue,
            flow_table=self.flow_table,
            configuration_apply_s=configuration_apply_s,
        )
        self.target_probes: dict[FlowKey, TargetProbe] = {}
        self.balancers: dict[int, float] = {}
        self.now = 0.0
        self.relay = AgentRelay(
            host=host,
            catalogue=catalogue,
            send_to_host=transport.send_to_host,
            balancers=self.balancers,
            report_load=lambda balancer: self.reporter.send([balancer]),
            metrics=metrics,
            is_enabled=features.relay_through_third_zone,
        )
        transport = msgspec.structs.replace(transport, send_to_host=self.relay.send)
        self.sender = MessageSender(
            host=host,
            catalogue=catalogue,
            transport=transport,
            codec=codec,
            metrics=metrics,
            load=lambda: self.observer.measure_load(self.now),
        )
        self.lost_flows = LostFlowProber(
            flow_table=self.flow_table,
            send_to_target=transport.send_to_target,
            metrics=metrics,
            is_enabled=features.lost_flow_probes,
        )
        self.opener = FlowOpener(
            catalogue=catalogue,
            admission=admission,
            flow_table=self.flow_table,
            sender=self.sender,
            transport=transport,
            codec=codec,
            metrics=metrics,
        )
        self.observer = TargetObserver(
            admission=admission,
            flow_table=self.flow_table,
            count_waiting=lambda: len(self.opener.waiting_room),
            metrics=metrics,
        )
        self.reporter = LoadReporter(
            balancers=self.balancers,
            detours=self.relay.detours,
            sender=self.sender,
        )
        self.ejector = TargetEjector(
            admission=admission,
            flow_table=self.flow_table,
            sender=self.sender,
            metrics=metrics,
            started_at=started_at,
            is_enabled=features.failing_target_detection,
        )
        self.incarnations = IncarnationTracker(
            admission=admission,
            flow_table=self.flow_table,
            sender=self.sender,
        )
        self.finder = HolderFinder(
            host=host,
            catalogue=catalogue,
            sender=self.sender,
            metrics=metrics,
            probe_target=lambda segment, probe: self._deliver(segment, probe, host),
        )
        self.handlers = {
            MessageKind.OPEN: self._receive_open,
            MessageKind.FORWARD: self._receive_forward,
            MessageKind.FIND: self._receive_find,
            MessageKind.PROBE: self._receive_forward,
            MessageKind.NOT_HELD: self._receive_not_held,
            MessageKind.HELD: self._receive_held,
            MessageKind.REGISTER_HOLDER: self._receive_register_holder,
            MessageKind.QUERY: self._receive_query,
            MessageKind.QUERY_ANSWER: self._receive_query_answer,
        }

    # Messages of balancers and other agents.

    def receive_message(self, message: Message, source: int, now: float) -> None:
        """Handle one datagram of a balancer or another agent."""
        self.now = now
        is_relayed = message.kind == MessageKind.RELAY
        if is_relayed:
            relayed = self.relay.receive(message, source, now)
            if relayed is None:
                return
            message, source = relayed
        handler = self.handlers.get(message.kind)
        if handler is None:
            self.metrics.counters["drop.message_unexpected"] += 1
            return
        if message.hops > MAX_HOPS:
            self.metrics.counters["drop.hops"] += 1
            return
        if message.ingress.host == source and not is_relayed:
            self.balancers[source] = now
            self.relay.record_direct(source)
        handler(message, source)

    def _receive_open(self, message: Message, source: int) -> None:
        _, packet = decode_open_body(message.detail, message.body)
        self.lost_flows.record_first_packet(self.codec.peek_flow_key(packet)[0])
        self.opener.receive_open(message, self.now)

    def _receive_forward(self, message: Message, source: int) -> None:
        segment = self.codec.parse_caller_packet(message.body)
        self._deliver(segment, message, source)

    def _deliver(self, segment: Segment, message: Message, source: int) -> None:
        """Deliver a packet if the target holds the flow or may hold it, else deny."""
        flow = segment.flow
        held = self.flow_table.find(flow)
        if held is None:
            held = self._open_if_confirmed(segment, message, source)
        if held is not None:
            if source != message.ingress.host or message.kind != MessageKind.FORWARD:
                self.sender.send_held(flow, message.ingress, source)
            self.flow_table.record_caller_packet(
                held,
                segment,
                ingress=message.ingress,
                now=self.now,
                more_follows=segment.payload_size == self.codec.max_payload_bytes,
            )
            self.ejector.record_request(held, flow, self.now)
            self.lost_flows.record_caller_packet(held, segment)
            self.metrics.counters["packet.delivered"] += 1
            self.transport.send_to_target(segment.raw)
            if segment.resets:
                self.flow_table.remove(flow)
            return
        if segment.opens and flow in self.flow_table.half_open:
            self.transport.send_to_target(segment.raw)
            return
        is_search = message.kind == MessageKind.PROBE
        if (
            not self.knowledge.is_complete(self.now)
            and flow not in self.flow_table.half_open
        ):
            if segment.opens:
                # The target would open the flow instead of returning the packet.
                self.metrics.counters["drop.first_packet_unsure"] += 1
                return
            self.metrics.counters["packet.inquired"] += 1
            self.target_probes[flow] = TargetProbe(
                source, message.ingress, self.now, is_search
            )
            self.transport.send_to_target(segment.raw)
            return
        self.metrics.counters["packet.not_held"] += 1
        self._send_denial(segment, source, message.ingress, is_search=is_search)

    def _open_if_confirmed(
        self, segment: Segment, message: Message, source: int
    ) -> HeldFlow | None:
        """Hold a half-open flow if this packet acknowledges the target's acceptance.

        Returns
        -------
        HeldFlow or None
            None if the flow is not half-open or the packet does not acknowledge.
        """
        half_open = self.flow_table.half_open.get(segment.flow)
        if half_open is None or segment.opens or not segment.has_acknowledged:
            return None
        accepted = half_open.acceptance_sequence
        if accepted is None or segment.acknowledged != (accepted + 1) & 0xFFFFFFFF:
            return None
        held = self._add_held(segment.flow, message.ingress)
        # The balancer that placed the flow and forwards its packets here already knows
        # the holder.
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

    def _send_denial(
        self, segment: Segment, requester: int, ingress: Ingress, *, is_search: bool
    ) -> None:
        """Report to the requester that the target does not hold the flow."""
        if requester == self.host:
            self.finder.record_answer(
                segment.flow, self.host, Knowledge.DENIES, self.now
            )
        elif is_search:
            self._answer_query(segment.flow, Knowledge.DENIES, requester, ingress)
        else:
            self.sender.send(
                MessageKind.NOT_HELD, requester, segment.raw, ingress=ingress
            )

    def _answer_query(
        self, flow: FlowKey, knowledge: Knowledge, requester: int, ingress: Ingress
    ) -> None:
        self.sender.send(
            MessageKind.QUERY_ANSWER,
            requester,
            flow,
            ingress=ingress,
            detail=knowledge,
        )

    # Homes and searches.

    def _receive_find(self, message: Message, source: int) -> None:
        segment = self.codec.parse_caller_packet(message.body)
        flow = segment.flow
        if self.flow_table.is_held(flow) or self._open_if_confirmed(
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

    def _receive_query(self, message: Message, source: int) -> None:
        flow = decode_flow_key(message.body)
        knowledge = self.knowledge.get_knowledge(flow, self.now)
        self._answer_query(flow, knowledge, source, message.ingress)

    def _receive_query_answer(self, message: Message, source: int) -> None:
        flow = decode_flow_key(message.body)
        knowledge = decode_knowledge(message.detail)
        self.finder.record_answer(flow, source, knowledge, self.now)

    def _receive_register_holder(self, message: Message, source: int) -> None:
        self.finder.record_holder(decode_flow_key(message.body), source, self.now)

    # Packets of the target.

    def receive_from_target(self, segment: Segment, now: float) -> None:
        """Handle one packet that the target sent."""
        self.now = now
        self.ejector.detect_pause(now)
        self._handle_target_packet(segment)
        if self.opener.waiting_room.flows:
            self.opener.admit_waiting(now)

    def _handle_target_packet(self, segment: Segment) -> None:
        if segment.bounced:
            self._receive_bounced(segment)
            return
        self.admission.record_target_packet(self.now)
        flow = segment.flow
        self.transport.send_to_caller(flow, segment.raw)
        if segment.opens:
            self.opener.receive_acceptance(segment, self.now)
            return
        held = self.flow_table.find(flow)
        if held is None:
            if segment.resets:
                self.target_probes.pop(flow, None)
                self.flow_table.remove(flow)
                return
            held = self._recover_flow(flow)
        self.ejector.record_target_packet(held, segment, self.now)
        self.observer.record_packet(held, segment, self.now)
        if segment.resets:
            self.metrics.counters["flow.reset_by_target"] += 1
            log_event("flow_reset_by_target", flow=format_flow(flow))
            self.flow_table.remove(flow)

    def _recover_flow(self, flow: FlowKey) -> HeldFlow:
        """Hold an unknown flow for which the target sent a packet."""
        probe = self.target_probes.pop(flow, None)
        ingress = probe.ingress if probe else Ingress()
        held = self._add_held(flow, ingress)
        self.sender.send_held(flow, ingress, probe.requester if probe else 0)
        self.metrics.counters["flow.recovered"] += 1
        self.finder.searches.finish(flow)
        return held

    def _receive_bounced(self, segment: Segment) -> None:
        flow = segment.flow
        half_open = self.flow_table.half_open.pop(flow, None)
        if half_open is not None and segment.opens:
            self.admission.record_target_packet(self.now)
            self.opener.handle_refusal(flow, half_open, FlowRefusal.REJECTED)
            return
        probe = self.target_probes.pop(flow, None)
        if probe is not None:
            segment.raw = self.codec.clear_bounced_flag(segment.raw)
            self._send_denial(
                segment, probe.requester, probe.ingress, is_search=probe.is_search
            )
            return
        packet = self.codec.clear_bounced_flag(segment.raw)
        if flow in self.flow_table.flows and self.lost_flows.is_proof(segment, packet):
            # The target held the flow and lost it, so it was started again.
            held = self.flow_table.remove(flow)
            self.sender.reset_flow(flow, segment.acknowledged, "target_lost_flow")
            if not held.is_closing:
                self.admission.record_lost_flow(held.opened_at, self.now)
            self.lost_flows.record_lost_flow(flow, held, self.now)
            return
        self.metrics.counters["drop.bounced"] += 1

    # Load reports, timers and leaving.

    def send_load_reports(self, now: float) -> None:
        """Send the load to balancers heard lately, a batch at a time, round robin."""
        self.now = now
        self.reporter.send_batch(now)

    def announce_leaving(self) -> None:
        """Refuse new flows, and tell balancers that this process stops.

        Flows that wait are passed to their alternates or returned. The target may keep
        running.
        """
        self.admission.is_leaving = True
        self.opener.admit_waiting(self.now)
        self.reporter.announce_leaving()

    def handle_target_change(self, now: float, *, unix_s: float) -> None:
        """Handle a change of the published targets.

        The holders of all flows are registered again at homes that changed.

        Parameters
        ----------
        now : float
        unix_s : float
            Unix time, for the age of the target.
        """
        self.now = now
        self.finder.homes_to_update = list(self.flow_table.flows)
        self.incarnations.record_target(now, unix_s=unix_s)
        self.ejector.record_incarnation(self.incarnations.incarnation)

    def tick(self, now: float) -> None:
        """Remove expired state, update homes, and reset a batch of lost flows."""
        self.now = now
        self.knowledge.tick(now)
        self.flow_table.expire_requests(now, self.opener.get_timeout_s)
        self.ejector.tick(now)
        self.opener.admit_waiting(now)
        self.finder.tick(self.flow_table.flows, now)
        expire_target_probes(self.target_probes, now)
        self.incarnations.reset_lost_flows()
        self.lost_flows.tick(now)
        self.relay.expire(now)
