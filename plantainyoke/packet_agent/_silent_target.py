"""Proof that an agent's target is silent, and the resets of flows for that reason.

Load pattern: a target hangs or dies without its flows being returned. Callers with an
idempotent request in flight could repeat it elsewhere, but learn of the failure only
when their own timeout has passed.

Nothing here reads a clock or a socket: times are arguments.
"""

from plantainyoke.flows import FlowKey, FlowTable, get_service_endpoint
from plantainyoke.packet_agent._sender import MessageSender
from plantainyoke.placement import FlowAdmission

MIN_FIRST_PACKETS = 2  # unanswered ones; a single one may have been lost
FIRST_PACKET_SILENT_S = 0.25  # a responsive target accepts within a millisecond
MIN_SILENT_S = 0.4  # above the longest known request: 7 x 25 ms at 0.55 of the speed
SILENT_SERVICE_TIMES = 10  # above the ratio of long requests to the mean (7)
UNKNOWN_SERVICE_TIME_S = 0.05  # before the first answer, as in admission
MAX_CHECK_GAP_S = 0.15  # three intervals of the timer that checks
PAUSE_MARGIN_S = 1.0  # nothing is concluded for this long after a pause or the start
RESETS_PER_CHECK = 200  # as for flows of an earlier incarnation


class SilentTargetDetector:
    """Resets the flows whose callers should repeat their requests elsewhere.

    A target is silent if it left at least `MIN_FIRST_PACKETS` first packets without an
    answer for `FIRST_PACKET_SILENT_S`, and sent no packet at all while a request was in
    flight for the larger of `MIN_SILENT_S` and ten service times. Two checks in a row
    must find this: between them the event loop has read the target's socket, so that a
    packet which waited there has been handled.

    Parameters
    ----------
    admission : FlowAdmission
    flow_table : FlowTable
    sender : MessageSender
    started_at : float
        Time at which this process started, in seconds.
    is_enabled : bool
        Whether flows are reset.

    Attributes
    ----------
    target_seen_at : float
        Time at which the latest packet of the target was handled.
    checked_at : float
        Time of the latest check, 0 before the first.
    ignored_until : float
        Time until which nothing is concluded.
    waiting_since : dict of bytes to float
        Time of the first check that found a request in flight since the target's latest
        packet, by flow. Retransmissions by the caller do not change it.
    is_suspected : bool
        Whether the latest check found the target silent.
    """

    def __init__(
        self,
        *,
        admission: FlowAdmission,
        flow_table: FlowTable,
        sender: MessageSender,
        started_at: float,
        is_enabled: bool,
    ) -> None:
        self.admission = admission
        self.flow_table = flow_table
        self.sender = sender
        self.is_enabled = is_enabled
        self.target_seen_at = started_at
        self.checked_at = 0.0
        self.ignored_until = started_at + PAUSE_MARGIN_S
        self.waiting_since: dict[FlowKey, float] = {}
        self.is_suspected = False

    def record_target_packet(self, now: float) -> None:
        """Record that a packet of the target was handled, a returned one included."""
        self.target_seen_at = now
        self.waiting_since.clear()
        self.is_suspected = False

    def check(self, now: float) -> None:
        """Reset flows with an idempotent request in flight at a silent target."""
        gap_s, self.checked_at = now - self.checked_at, now
        if gap_s > MAX_CHECK_GAP_S:
            self.ignored_until = max(self.ignored_until, now + PAUSE_MARGIN_S)
        self.waiting_since = {
            flow: self.waiting_since.get(flow, now) for flow in self.flow_table.requests
        }
        was_suspected = self.is_suspected
        self.is_suspected = self._looks_silent(now)
        if not (was_suspected and self.is_suspected and self.is_enabled):
            return
        due = [flow for flow in self.waiting_since if self._is_due(flow, now)]
        for flow in due[:RESETS_PER_CHECK]:
            held = self.flow_table.remove(flow)
            self.sender.reset_flow(flow, held.acknowledged, "target_silent")

    def _is_due(self, flow: FlowKey, now: float) -> bool:
        route = self.admission.catalogue.routes.get(get_service_endpoint(flow))
        return (
            route is not None
            and route.is_idempotent
            and not self.flow_table.flows[flow].is_closing
            and now - self.waiting_since[flow] >= FIRST_PACKET_SILENT_S
        )

    def _looks_silent(self, now: float) -> bool:
        target = self.admission.target
        if now < self.ignored_until or target is None or target.draining:
            return False
        service_time_s = self.admission.work_time.work_time_s or UNKNOWN_SERVICE_TIME_S
        limit_s = max(MIN_SILENT_S, SILENT_SERVICE_TIMES * service_time_s)
        if now - self.target_seen_at < limit_s:
            return False
        if not any(now - since >= limit_s for since in self.waiting_since.values()):
            return False
        unanswered = sum(
            half_open.sent_at > self.target_seen_at
            and half_open.acceptance_sequence is None
            and now - half_open.sent_at >= FIRST_PACKET_SILENT_S
            for half_open in self.flow_table.half_open.values()
        )
        return unanswered >= MIN_FIRST_PACKETS
