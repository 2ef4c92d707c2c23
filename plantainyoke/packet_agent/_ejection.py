"""Detection of a failing target by its agent, and the consequences for its flows.

`TargetEjector` derives the outcomes of requests from the packets of open flows. The
decisions are in `plantainyoke.outliers`. Nothing here reads a clock or a socket.
"""

from plantainyoke.flows import (
    FlowKey,
    FlowRefusal,
    FlowTable,
    HeldFlow,
    Segment,
    get_service_endpoint,
)
from plantainyoke.outliers import OutcomeKind, OutcomeWindow, RequestTracker
from plantainyoke.packet_agent._sender import MessageSender
from plantainyoke.placement import FlowAdmission
from plantainyoke.telemetry import Metrics, log_event

IDLE_RESETS_PER_TICK = 200  # limits the callers that open new flows at once
# A flow counts as idle after this time without a packet, so that answers of several
# packets are complete; endpoints repeat a lost packet after 0.2 s.
IDLE_FLOW_S = 0.25
# After a pause or a start of the agent, packets of several seconds arrive at once.
QUIET_PERIOD_S = 1.0
MAX_TICK_GAP_S = 0.75  # a longer one is a pause; ticks are 0.25 to 0.3 s apart
# Requests per slot from which on a target may be full and reject some of them.
OVERLOAD_SHARE = 2
OVERLOAD_EXTRA = 2
# States of a target in which a reset is no evidence that it is impaired.
EXCUSED_REFUSALS = frozenset(
    {
        FlowRefusal.LEAVING,
        FlowRefusal.UNVERIFIED,
        FlowRefusal.DRAINING,
        FlowRefusal.ZONE_OUT,
    }
)


class TargetEjector:
    """Ejects the agent's target while it fails requests.

    Parameters
    ----------
    admission : FlowAdmission
    flow_table : FlowTable
        Flows of the target.
    sender : MessageSender
    metrics : Metrics
    started_at : float
        Time at which this process started, in seconds.
    is_enabled : bool

    Attributes
    ----------
    window : OutcomeWindow
    tracker : RequestTracker
    counts_from : float
        Time from which on failures count, in seconds.
    ticked_at : float
        Time of the last tick.
    incarnation : tuple of (str, int) or None
        Incarnation of the target whose outcomes were recorded.
    """

    def __init__(
        self,
        *,
        admission: FlowAdmission,
        flow_table: FlowTable,
        sender: MessageSender,
        metrics: Metrics,
        started_at: float,
        is_enabled: bool,
    ) -> None:
        self.admission = admission
        self.flow_table = flow_table
        self.sender = sender
        self.metrics = metrics
        self.is_enabled = is_enabled
        self.window = OutcomeWindow()
        self.tracker = RequestTracker()
        self.counts_from = started_at + QUIET_PERIOD_S
        self.ticked_at = started_at
        self.incarnation: tuple[str, int] | None = None

    @property
    def slots(self) -> int:
        """Slots of the target."""
        return self.admission.target.slots if self.admission.target else 1

    def record_request(self, held: HeldFlow, flow: FlowKey, now: float) -> None:
        """Track the request that a caller's packet completed, if it did."""
        if not self.is_enabled or held.request_at != now:
            return
        route = self.admission.catalogue.routes.get(get_service_endpoint(flow))
        if route is not None and route.aim_s:
            self.tracker.start(flow, aim_s=route.aim_s, now=now)

    def record_target_packet(
        self, held: HeldFlow, segment: Segment, now: float
    ) -> None:
        """Record the outcome of a request if a packet of the target decides it.

        To be called before the flow table is updated by the packet.
        """
        if not self.is_enabled or not held.request_at or held.is_closing:
            return
        request = self.tracker.requests.get(segment.flow)
        if segment.resets:
            if request is not None and request.is_failed:
                return
            if self._is_evidence(held, now):
                self._record_failure(OutcomeKind.RESET_BY_TARGET, segment.flow, now)
        elif segment.payload_size:
            self._record_answer(segment.flow, now)

    def record_incarnation(self, incarnation: tuple[str, int] | None) -> None:
        """Forget the outcomes of an earlier incarnation of the target."""
        if self.incarnation not in (None, incarnation):
            self.window.clear()
            self.tracker.requests.clear()
            self.admission.ejection.clear()
        self.incarnation = incarnation

    def tick(self, now: float) -> None:
        """Detect pauses, and reset idle flows that were in use before."""
        self.detect_pause(now)
        self.ticked_at = now
        for flow in self.tracker.requests.keys() - self.flow_table.requests.keys():
            self.tracker.end(flow)
        work_time_s = self.admission.estimate_answer_s(0)
        stalled = self.tracker.list_stalled(now, work_time_s=work_time_s)
        self._record_unanswered(OutcomeKind.STALLED, stalled, now)
        if self.admission.ejection.is_failing:
            self._reset_idle_flows(now)

    def _is_evidence(self, held: HeldFlow, now: float) -> bool:
        """Return whether a failure on a flow says something about the target."""
        self.detect_pause(now)
        if now < self.counts_from or held.is_reopened:
            return False
        if held.in_flight_at_request > OVERLOAD_SHARE * self.slots + OVERLOAD_EXTRA:
            return False
        if self.admission.is_cold(now):
            return False
        return self.admission.current_refusal(0, now) not in EXCUSED_REFUSALS

    def detect_pause(self, now: float) -> None:
        """Ignore failures for a while if this process does not tick in time."""
        if now - self.ticked_at > MAX_TICK_GAP_S:
            self.admission.record_pause()
            self.counts_from = now + QUIET_PERIOD_S
            self.window.clear()
            self.tracker.requests.clear()

    def _record_unanswered(
        self, kind: OutcomeKind, flows: list[FlowKey], now: float
    ) -> None:
        for flow in flows:
            held = self.flow_table.flows.get(flow)
            if held is None or held.is_closing:
                continue
            if self._is_evidence(held, now):
                self._record_failure(kind, flow, now)

    def _record_answer(self, flow: FlowKey, now: float) -> None:
        request = self.tracker.end(flow)
        self.tracker.answered_at = now
        if request is not None:
            overtaken = self.tracker.list_overtaken(
                request,
                now,
                slots=self.slots,
                work_time_s=self.admission.estimate_answer_s(0),
            )
            self._record_unanswered(OutcomeKind.OVERTAKEN, overtaken, now)
            if request.is_failed:
                return
        self.window.record(OutcomeKind.ANSWERED, now, slots=self.slots)
        ejection = self.admission.ejection
        if ejection.is_failing and ejection.record_answer(flow, now):
            self.window.clear()
            self.metrics.counters["outlier.recovered"] += 1
            log_event("target_recovered", target=self._get_target_name())

    def _record_failure(self, kind: OutcomeKind, flow: FlowKey, now: float) -> None:
        self.window.record(kind, now, slots=self.slots)
        self.metrics.counters["outlier.failed"] += 1
        ejection = self.admission.ejection
        if ejection.is_failing:
            ejection.record_failure(now)
        elif self.window.is_failing(now, slots=self.slots):
            ejection.eject(now)
            self.metrics.counters["outlier.ejected"] += 1
            log_event(
                "target_failing",
                target=self._get_target_name(),
                reason=kind.name.lower(),
                outcomes=len(self.window.outcomes),
                retry_s=ejection.retry_delay_s,
                flows=len(self.flow_table.flows),
            )
        if ejection.is_failing and kind == OutcomeKind.RESET_BY_TARGET:
            self._reset_idle_flows(now, failed_flow=flow)

    def _reset_idle_flows(self, now: float, failed_flow: FlowKey = b"") -> None:
        """Reset a batch of idle flows while resets prove that the target is impaired.

        Flows with a request in flight are left alone until it is answered. Nothing is
        reset if no other target could take the flows.
        """
        if now < self.admission.ejection.ignored_until:
            return
        target = self.admission.target
        if not self.window.proves_impaired(now, slots=self.slots) or target is None:
            return
        others = self.admission.catalogue.list_eligible_targets(target.service)
        if all(other.host == target.host for other in others):
            return
        last_reset_at = self.window.reset_at
        idle = []
        for flow, held in self.flow_table.flows.items():
            if (
                now - held.last_seen_at < IDLE_FLOW_S
                or len(idle) == IDLE_RESETS_PER_TICK
            ):
                break
            # What opened later may belong to a target that was started again.
            if (
                not (held.request_at or held.is_receiving or held.is_closing)
                and held.opened_at < last_reset_at
                and flow != failed_flow
            ):
                idle.append(flow)
        for flow in idle:
            held = self.flow_table.remove(flow)
            self.sender.reset_flow(flow, held.acknowledged, "target_failing")

    def _get_target_name(self) -> str | None:
        return self.admission.target.name if self.admission.target else None
