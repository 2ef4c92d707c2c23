"""Incarnations of an agent's target, and the flows that an earlier one held.

Nothing here reads a clock or a socket: times are arguments.
"""

from plantainyoke.catalogue import Target
from plantainyoke.flows import FlowKey, FlowTable
from plantainyoke.packet_agent._sender import MessageSender
from plantainyoke.placement import FlowAdmission
from plantainyoke.telemetry import log_event

RESETS_PER_TICK = 200  # flows of an earlier incarnation that are reset in one tick
CLOCK_SKEW_MARGIN_S = 0.5  # between the clock of the target's entry and this one
# After a power loss a target starts sooner than the agent beside it, by the time that
# the agent's imports take. A target that restarted under a live agent which was killed
# at once, or whose host's clock stepped back, can look as young (KNOWN-RED.txt, 3).
START_MARGIN_S = 0.45


class IncarnationTracker:
    """Notices that the target was started again, and resets the flows that it lost.

    Parameters
    ----------
    admission : FlowAdmission
    flow_table : FlowTable
        Flows of the target.
    sender : MessageSender

    Attributes
    ----------
    flows_to_reset : list of bytes
        Flows of an earlier incarnation of the target that are not reset yet.
    incarnation : tuple of (str, int) or None
        Name and time of birth of the target, None before it was first registered.
    """

    def __init__(
        self,
        *,
        admission: FlowAdmission,
        flow_table: FlowTable,
        sender: MessageSender,
    ) -> None:
        self.admission = admission
        self.flow_table = flow_table
        self.sender = sender
        self.flows_to_reset: list[FlowKey] = []
        self.incarnation: tuple[str, int] | None = None

    def record_target(self, now: float, *, unix_s: float) -> None:
        """Record the published entry of the target.

        Flows of an earlier incarnation of the target are reset before their callers
        send requests on them. If the target is as young as what this process has seen
        of it, the table has all of its flows, and no earlier process has admitted any.

        Parameters
        ----------
        now : float
        unix_s : float
            Unix time, for the age of the target.
        """
        target = self.admission.target
        if target is None:
            return
        incarnation = target.name, target.born_ms
        if incarnation == self.incarnation:
            return
        self.admission.record_new_entry(now)
        age_s = unix_s - target.born_ms / 1000
        # A negative age shows that the clock was set: it says nothing about the flows.
        # Those that the target lost are reset when it returns their next packets.
        if 0 <= age_s < now - self.flow_table.complete_since + START_MARGIN_S:
            self.flow_table.complete_since = float("-inf")
            self.admission.cold_start_limiter.blocked_until = 0.0
        if self.incarnation is not None and age_s >= 0:
            self._schedule_resets(target, age_s, now)
        self.incarnation = incarnation

    def _schedule_resets(self, target: Target, age_s: float, now: float) -> None:
        """Schedule the resets of flows that are older than the target.

        The entry of a new incarnation appears within one heartbeat interval. After the
        store was unreachable it appears later, and only the time of birth shows how
        old the incarnation is.
        """
        age_s = max(age_s + CLOCK_SKEW_MARGIN_S, 2 * self.admission.heartbeat_s)
        self.flows_to_reset = [
            flow
            for flow, held in self.flow_table.flows.items()
            if now - held.opened_at > age_s
        ]
        log_event(
            "target_started_again",
            target=target.name,
            age_s=round(age_s, 2),
            flows_lost=len(self.flows_to_reset),
        )

    def reset_lost_flows(self) -> None:
        """Reset a batch of the flows that an earlier incarnation held."""
        for flow in self.flows_to_reset[:RESETS_PER_TICK]:
            held = self.flow_table.remove(flow)
            if held is not None:
                self.sender.reset_flow(flow, held.acknowledged, "target_started_again")
        del self.flows_to_reset[:RESETS_PER_TICK]
