"""Resets that the system sends of its own."""

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
    """Reset a flow, and count and log why.

    Parameters
    ----------
    flow : bytes
    acknowledged : int
        What the flow's caller acknowledged last.
    reason : str
    catalogue : Catalogue
        View that decided it.
    codec : PacketCodec
    metrics : Metrics
    send_to_caller : callable
        Called with the flow and the packet.
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
