"""Resets of flows by a balancer or an agent.

A process resets a flow that no target accepts or holds, so that the caller opens a new
flow instead of waiting for a timeout.
"""

from collections.abc import Callable

from plantainyoke.catalogue import Catalogue
from plantainyoke.flows import FlowKey, format_flow
from plantainyoke.packet_node._codec import PacketCodec
from plantainyoke.telemetry import Metrics, log_event


def send_reset(
    flow: FlowKey,
    acknowledged: int,
    reason: str,
    *,
    catalogue: Catalogue,
    codec: PacketCodec,
    metrics: Metrics,
    send_to_caller: Callable[[FlowKey, bytes], None],
) -> None:
    """Send a reset of a flow to its caller, and count and log the reason.

    Parameters
    ----------
    flow : bytes
        Key of the flow.
    acknowledged : int
        Sequence number that the caller acknowledged last.
    reason : str
        Reason as it appears in the counter and the log.
    catalogue : Catalogue
        View on which the decision was based; its revision and version are logged.
    codec : PacketCodec
    metrics : Metrics
    send_to_caller : callable
        Sends a packet to the caller of a flow; called with the flow and the packet.
    """
    metrics.counters[f"reset.{reason}"] += 1
    log_event(
        "flow_reset",
        flow=format_flow(flow),
        reason=reason,
        version=catalogue.configuration.version,
        revision=catalogue.revision,
    )
    send_to_caller(flow, codec.encode_reset(flow, acknowledged))
