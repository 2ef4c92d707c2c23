"""What an agent observes of its target.

`TargetObserver` follows the packets of the target's open flows, measures the times of
its answers, and states its load. It reads no clock and no socket.
"""

from collections.abc import Callable

from plantainyoke.flows import FlowTable, HeldFlow, Load, Segment
from plantainyoke.placement import FlowAdmission
from plantainyoke.telemetry import Metrics


class TargetObserver:
    """Follows the requests and answers of an agent's target.

    Parameters
    ----------
    admission : FlowAdmission
    flow_table : FlowTable
        Flows of the target.
    count_waiting : callable
        Returns the number of flows whose first packets wait at the agent.
    metrics : Metrics
    """

    def __init__(
        self,
        *,
        admission: FlowAdmission,
        flow_table: FlowTable,
        count_waiting: Callable[[], int],
        metrics: Metrics,
    ) -> None:
        self.admission = admission
        self.flow_table = flow_table
        self.count_waiting = count_waiting
        self.metrics = metrics

    def record_packet(self, held: HeldFlow, segment: Segment, now: float) -> None:
        """Record a packet that the target sent on an open flow."""
        elapsed_s = self.flow_table.record_target_packet(held, segment, now)
        if elapsed_s is not None:
            self._record_answer(held, elapsed_s, now)

    def measure_load(self, now: float) -> Load:
        """Return the load of the target, as reported to other processes."""
        target = self.admission.target
        flows = len(self.flow_table.flows)
        return Load(
            flows,
            self.flow_table.in_flight + self.count_waiting(),
            target.slots if target else 1,
            self.admission.current_refusal(flows, now),
            round(self.admission.work_time.work_time_s * 1_000_000),
        )

    def _record_answer(self, held: HeldFlow, elapsed_s: float, now: float) -> None:
        target = self.admission.target
        slots = target.slots if target else 1
        self.metrics.observe("answer", elapsed_s)
        self.admission.work_time.record_answer(
            elapsed_s, in_flight=held.in_flight_at_request, slots=slots, now=now
        )
