"""Decisions of an agent about the first packets of flows.

`FlowOpener` admits a first packet to the target, lets it wait, or forwards it to the
next alternate. Nothing here reads a clock or a socket; see `_delivery`.
"""

from plantainyoke.catalogue import Catalogue, Route
from plantainyoke.flows import (
    IGNORE_FAILING_FLAG,
    MAX_HOPS,
    MAY_WAIT_FLAG,
    MOSTLY_COLD_FLAG,
    FlowKey,
    FlowRefusal,
    FlowTable,
    HalfOpenFlow,
    Message,
    MessageKind,
    Segment,
    decode_open_body,
    encode_open_body,
    encode_open_detail,
    format_flow,
    get_service_endpoint,
)
from plantainyoke.network import format_host
from plantainyoke.packet_agent._sender import AgentTransport, MessageSender
from plantainyoke.packet_node import PacketCodec
from plantainyoke.placement import (
    TARGET_SILENT_S,
    FlowAdmission,
    WaitingFlow,
    WaitingRoom,
)
from plantainyoke.telemetry import Metrics, log_event

# Part of a route's `aim_s` that a flow may be expected to take if it is to wait; the
# rest is for the way and for errors of the estimate.
AIM_SHARE = 0.8
# Agents that pass a flow on, because another one may be idle, before it waits.
MAX_IDLE_SEARCH_HOPS = 2
NO_ROUTE = Route("", 0, 0, ())


class FlowOpener:
    """Opens flows of the agent's target.

    Parameters
    ----------
    catalogue : Catalogue
    admission : FlowAdmission
    flow_table : FlowTable
    sender : MessageSender
    transport : AgentTransport
    codec : PacketCodec
    metrics : Metrics

    Attributes
    ----------
    waiting_room : WaitingRoom
        Flows whose first packets wait for the target.
    """

    def __init__(
        self,
        *,
        catalogue: Catalogue,
        admission: FlowAdmission,
        flow_table: FlowTable,
        sender: MessageSender,
        transport: AgentTransport,
        codec: PacketCodec,
        metrics: Metrics,
    ) -> None:
        self.catalogue = catalogue
        self.admission = admission
        self.flow_table = flow_table
        self.sender = sender
        self.transport = transport
        self.codec = codec
        self.metrics = metrics
        self.waiting_room = WaitingRoom()

    def count_in_flight(self, now: float) -> int:
        """Return the number of flows at the target whose callers wait for an answer."""
        return self.flow_table.in_flight + self.flow_table.count_opening(now)

    def get_timeout_s(self, flow: FlowKey) -> float:
        """Return the time after which callers of a flow give up a request."""
        return self._get_route(flow).timeout_s

    def receive_open(self, message: Message, now: float) -> None:
        """Admit the flow of a first packet, let it wait, or refuse it."""
        alternates, packet = decode_open_body(message.detail, message.body)
        segment = self.codec.parse_caller_packet(packet)
        flow = segment.flow
        held = self.flow_table.flows.get(flow)
        if flow in self.flow_table.half_open or (
            held is not None and not held.is_closing
        ):
            self.metrics.counters["open.copy"] += 1
            if held is not None:
                held.is_reopened = True
            self.transport.send_to_target(packet)
            return
        half_open = HalfOpenFlow(
            now,
            message.ingress,
            message.service,
            alternates,
            packet,
            message.hops,
            bool(message.detail & MOSTLY_COLD_FLAG),
            bool(message.detail & MAY_WAIT_FLAG),
            bool(message.detail & IGNORE_FAILING_FLAG),
        )
        if flow in self.waiting_room.flows:
            self.metrics.counters["open.copy"] += 1
            self._report_waiting(flow, half_open, now)
            return
        refusal = self._admit(flow, half_open, now)
        if refusal == FlowRefusal.NONE:
            self._send_first_packet(flow, half_open, now)
        elif refusal != FlowRefusal.BUSY or not self._try_wait(segment, half_open, now):
            self.handle_refusal(flow, half_open, refusal)

    def receive_acceptance(self, segment: Segment, now: float) -> None:
        """Report to the balancer that the target accepted a first packet."""
        flow = segment.flow
        half_open = self.flow_table.half_open.get(flow)
        if half_open is None:
            return
        if now - half_open.sent_at > TARGET_SILENT_S:
            # A copy was accepted by a target that was down when the flow was admitted.
            self.admission.cold_start_limiter.record(now)
        half_open.acceptance_sequence = segment.sequence
        self.sender.send_flow(
            MessageKind.ACCEPTED, half_open.ingress.host, flow, half_open.ingress
        )

    def admit_waiting(self, now: float) -> None:
        """Admit waiting flows while the target has capacity.

        Flows whose callers gave up are dropped without a reset, since another agent
        may have opened them. Flows for which the target is no longer eligible are
        refused.
        """
        for flow, waiting in self.waiting_room.expire(now):
            self.metrics.counters["waiting.expired"] += 1
            log_event(
                "waiting_expired",
                flow=format_flow(flow),
                waited_s=round(now - waiting.half_open.sent_at, 3),
            )
        while (flow := self.waiting_room.find_first(now)) is not None:
            half_open = self.waiting_room.flows[flow].half_open
            refusal = self._admit(flow, half_open, now)
            if refusal == FlowRefusal.BUSY:
                return
            self.waiting_room.remove(flow)
            if refusal == FlowRefusal.NONE:
                self.metrics.counters["waiting.admitted"] += 1
                self.metrics.observe("waiting", now - half_open.sent_at)
                self._send_first_packet(flow, half_open, now)
            else:
                self.handle_refusal(flow, half_open, refusal)

    def handle_refusal(
        self, flow: FlowKey, half_open: HalfOpenFlow, refusal: FlowRefusal
    ) -> None:
        """Forward a refused first packet to the next alternate, or return it.

        The packet is returned to its ingress in REFUSED if no alternate remains or it
        was forwarded too often.
        """
        reason = refusal.name.lower()
        next_host = half_open.alternates[0] if half_open.alternates else None
        self.metrics.counters[f"refused.{reason}"] += 1
        log_event(
            "open_refused",
            flow=format_flow(flow),
            reason=reason,
            passed_to=format_host(next_host) if next_host else None,
            revision=self.catalogue.revision,
            flows=len(self.flow_table.flows),
            waiting=len(self.waiting_room),
        )
        if next_host is None or half_open.hops >= MAX_HOPS:
            self.sender.send(
                MessageKind.REFUSED,
                half_open.ingress.host,
                half_open.packet,
                ingress=half_open.ingress,
                detail=refusal,
            )
            return
        remaining = half_open.alternates[1:]
        self.sender.send(
            MessageKind.OPEN,
            next_host,
            encode_open_body(remaining, half_open.packet),
            ingress=half_open.ingress,
            service=half_open.service,
            hops=half_open.hops + 1,
            detail=encode_open_detail(
                len(remaining),
                mostly_cold=half_open.mostly_cold,
                may_wait=half_open.may_wait,
                ignore_failing=half_open.ignore_failing,
            ),
        )

    def _admit(self, flow: FlowKey, half_open: HalfOpenFlow, now: float) -> FlowRefusal:
        return self.admission.admit_flow(
            half_open.service,
            len(self.flow_table.flows),
            now,
            mostly_cold=half_open.mostly_cold,
            in_flight=self.count_in_flight(now),
            aim_s=self._get_route(flow).aim_s,
            is_idempotent=self._get_route(flow).is_idempotent,
            ignore_failing=half_open.ignore_failing,
        )

    def _send_first_packet(
        self, flow: FlowKey, half_open: HalfOpenFlow, now: float
    ) -> None:
        self.metrics.counters["open.given"] += 1
        half_open.sent_at = now
        if self.admission.ejection.is_failing:
            self.admission.ejection.start_trial(flow, now)
        self.flow_table.add_half_open(flow, half_open)
        self.admission.record_first_packet(now)
        self.transport.send_to_target(half_open.packet)

    def _try_wait(self, segment: Segment, half_open: HalfOpenFlow, now: float) -> bool:
        """Let a flow wait for the target if that serves its caller.

        Load pattern: at high load with reports that are some time old, one target is
        busy while others are idle. A flow is therefore passed on before it waits.
        A flow waits if it will be answered in time. It also waits if it will be
        answered late, but before its caller gives up, and other agents are busy too.

        Returns
        -------
        bool
            Whether the flow waits.
        """
        if self.waiting_room.is_full:
            return False
        if half_open.alternates and half_open.hops < MAX_IDLE_SEARCH_HOPS:
            return False
        waiting = self._create_waiting_flow(segment, half_open, now)
        in_flight = self.count_in_flight(now)
        ahead = self.waiting_room.count_ahead(waiting, now)
        admission_delay_s = self._estimate_wait_s(in_flight + ahead)
        margin_s = (1 - AIM_SHARE) * self._get_route(segment.flow).aim_s
        if now + admission_delay_s + margin_s > waiting.in_time_until:
            admission_delay_s = self._estimate_wait_s(
                in_flight + len(self.waiting_room)
            )
            if not half_open.may_wait or now + admission_delay_s > waiting.expires_at:
                return False
        self.waiting_room.add(segment.flow, waiting)
        self.metrics.counters["waiting.started"] += 1
        self._report_waiting(segment.flow, half_open, now)
        return True

    def _create_waiting_flow(
        self, segment: Segment, half_open: HalfOpenFlow, now: float
    ) -> WaitingFlow:
        """Return the entry of a flow with the times up to which waiting is useful.

        The caller gives up opening the flow after some time, and the whole request
        after the route's timeout.
        """
        route = self._get_route(segment.flow)
        started_at = now - self.codec.estimate_first_packet_age_s(segment)
        answer_s = self.admission.estimate_answer_s(self.admission.max_in_flight - 1)
        expires_at = started_at + self.codec.open_timeout_s
        if route.timeout_s:
            expires_at = min(expires_at, started_at + route.timeout_s - answer_s)
        return WaitingFlow(
            half_open,
            started_at + route.aim_s - answer_s,
            expires_at,
            route.priority,
        )

    def _estimate_wait_s(self, ahead: int) -> float:
        """Return the time until a flow is admitted after `ahead` other requests."""
        answers = ahead + 1 - self.admission.max_in_flight
        if answers <= 0:
            return 0.0
        return self.admission.estimate_answer_s(answers - 1)

    def _report_waiting(
        self, flow: FlowKey, half_open: HalfOpenFlow, now: float
    ) -> None:
        log_event(
            "open_waits",
            flow=format_flow(flow),
            in_flight=self.count_in_flight(now),
            waiting=len(self.waiting_room),
        )
        self.sender.send_flow(
            MessageKind.WAITING, half_open.ingress.host, flow, half_open.ingress
        )

    def _get_route(self, flow: FlowKey) -> Route:
        return self.catalogue.routes.get(get_service_endpoint(flow), NO_ROUTE)
