"""Probes of the flows that an agent's target may have lost.

Load pattern: a target restarts with hundreds of idle flows, and each caller finds out
by losing a request, which it may not repeat unless it is idempotent.

A target returns packets of flows that it does not hold. When it returns a packet of a
flow that it held, it has restarted, and all flows opened before are suspect. The agent
sends the target a copy of the caller's latest packet without payload of each of them: a
target that holds the flow drops the copy as a late one, a target that lost it returns
the copy. Only a returned copy is a proof, and only for its own flow; a copy that is
lost or not answered is none.

Nothing here reads a clock or a socket: times and the function that sends are arguments.
"""

from collections import deque
from collections.abc import Callable

import msgspec

from plantainyoke.flows import FlowKey, FlowTable, HeldFlow, Segment
from plantainyoke.telemetry import Metrics, log_event

PROBES_PER_TICK = 200  # 7 KB for each tick of 0.25 s; a target takes them in some ms
RUN_INTERVAL_S = 1.0  # so that no flow is probed twice within a second
# Bytes of the target that a caller acknowledges between two packets that may be on the
# way at the same time: an end has at most 16 packets of 1,200 bytes in flight.
MAX_ACKNOWLEDGED_DISTANCE = 76_800
SEQUENCE_MASK = 0xFFFFFFFF


class SentProbe(msgspec.Struct):
    """Copy of a packet that was sent to the target.

    Attributes
    ----------
    packet : bytes
    is_proof : bool
        Whether its return proves that the target lost the flow. It does not if the
        caller opened the flow again in the meantime.
    """

    packet: bytes
    is_proof: bool = True


class LostFlowProber:
    """Finds the flows that a restarted target has lost.

    Parameters
    ----------
    flow_table : FlowTable
        Flows of the target. `HeldFlow.idle_packet` is the packet to copy.
    send_to_target : callable
        Called with a packet.
    metrics : Metrics
    is_enabled : bool
        Whether probes are sent; otherwise a returned packet only concerns its flow.

    Attributes
    ----------
    restart_seen_at : float
        Time at which the latest restart was noticed, in seconds.
    probed_at : float
        Time at which the latest probe was sent.
    suspects : deque of bytes
        Flows that the run in progress has still to probe.
    sent : dict of bytes to SentProbe
        Copies sent in the latest run, by flow, and those of earlier runs that are no
        proof.
    is_run_due : bool
        Whether a packet was returned that asks for another run.
    """

    def __init__(
        self,
        *,
        flow_table: FlowTable,
        send_to_target: Callable[[bytes], None],
        metrics: Metrics,
        is_enabled: bool,
    ) -> None:
        self.flow_table = flow_table
        self.send_to_target = send_to_target
        self.metrics = metrics
        self.is_enabled = is_enabled
        self.restart_seen_at = float("-inf")
        self.probed_at = float("-inf")
        self.suspects: deque[FlowKey] = deque()
        self.sent: dict[FlowKey, SentProbe] = {}
        self.is_run_due = False

    def record_caller_packet(self, held: HeldFlow, segment: Segment) -> None:
        """Keep a packet of which a copy can be sent without an effect on the flow."""
        if segment.finishes or segment.resets or segment.opens:
            held.idle_packet = b""
        elif not segment.payload_size and segment.has_acknowledged:
            held.idle_packet = segment.raw

    def record_first_packet(self, flow: FlowKey) -> None:
        """Record that a first packet of a held flow arrived.

        The caller may have opened the flow again. The target then returns packets of
        the earlier flow, which prove nothing about the new one.
        """
        held = self.flow_table.flows.get(flow)
        if held is not None:
            held.idle_packet = b""
        probe = self.sent.get(flow)
        if probe is not None:
            probe.is_proof = False

    def is_proof(self, segment: Segment, packet: bytes) -> bool:
        """Return whether a returned packet of a held flow proves that it is lost.

        It does not if it belongs to an earlier flow between the same ports, which
        acknowledged other sequence numbers of its target.

        Parameters
        ----------
        segment : Segment
        packet : bytes
            The packet as the caller sent it.
        """
        if segment.opens:
            # A draining target returns late copies of first packets, too.
            return False
        held = self.flow_table.flows.get(segment.flow)
        if held is not None and not _is_of_flow(segment, held):
            return False
        probe = self.sent.get(segment.flow)
        return probe is None or probe.is_proof or probe.packet != packet

    def record_lost_flow(self, flow: FlowKey, held: HeldFlow, now: float) -> None:
        """Record that the target lost a flow, and start to probe the others.

        A flow that either end was closing is no sign of a restart, nor is one that
        was itself found by a probe.
        """
        if self.sent.pop(flow, None) is not None:
            return
        if not self.is_enabled or held.is_closing:
            return
        if held.opened_at > self.restart_seen_at:
            self.restart_seen_at = now
        self.is_run_due = True
        if not self.suspects:
            # A run in progress continues at the ticks, which pace it.
            self.tick(now)

    def tick(self, now: float) -> None:
        """Start a run that is due, and send the next probes of the run in progress."""
        if self.is_run_due and not self.suspects:
            self._start_run(now)
        for _ in range(min(PROBES_PER_TICK, len(self.suspects))):
            # The target may answer before the function that sends returns.
            if self.suspects:
                self._probe(self.suspects.popleft(), now)

    def _start_run(self, now: float) -> None:
        if now - self.probed_at < RUN_INTERVAL_S:
            return
        self.is_run_due = False
        # A slow target may still return a copy of a flow that was opened again.
        self.sent = {
            flow: probe
            for flow, probe in self.sent.items()
            if not probe.is_proof and flow in self.flow_table.flows
        }
        self.suspects.extend(
            flow
            for flow, held in self.flow_table.flows.items()
            if self._is_suspect(held)
        )
        if self.suspects:
            log_event(
                "flows_probed",
                flows=len(self.suspects),
                held=len(self.flow_table.flows),
            )

    def _is_suspect(self, held: HeldFlow) -> bool:
        return (
            bool(held.idle_packet)
            and not held.is_closing
            and held.opened_at < self.restart_seen_at
        )

    def _probe(self, flow: FlowKey, now: float) -> None:
        held = self.flow_table.flows.get(flow)
        if held is None or not self._is_suspect(held):
            return
        self.probed_at = now
        self.sent[flow] = SentProbe(held.idle_packet)
        self.metrics.counters["flow.probed"] += 1
        self.send_to_target(held.idle_packet)


def _is_of_flow(segment: Segment, held: HeldFlow) -> bool:
    """Return whether a caller's packet fits what it has acknowledged on a flow."""
    if not held.acknowledged or not segment.has_acknowledged:
        return True
    distance = (segment.acknowledged - held.acknowledged) & SEQUENCE_MASK
    return min(distance, SEQUENCE_MASK + 1 - distance) <= MAX_ACKNOWLEDGED_DISTANCE
