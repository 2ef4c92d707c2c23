"""Sending of a balancer's messages to agents, and of resets to callers."""

from collections.abc import Callable

import msgspec

from plantainyoke.catalogue import Catalogue
from plantainyoke.flows import (
    FlowKey,
    Ingress,
    MessageKind,
    Segment,
    encode_message,
    format_flow,
)
from plantainyoke.network import format_host
from plantainyoke.packet_balancer._detours import DetourTable
from plantainyoke.packet_balancer._flow_cache import CachedFlow, FlowCache
from plantainyoke.packet_node import PacketCodec, send_reset
from plantainyoke.placement import AgentTable
from plantainyoke.telemetry import Metrics, log_event


class BalancerTransport(msgspec.Struct, frozen=True):
    """Functions with which a balancer sends.

    Attributes
    ----------
    send_to_agent : callable
        Sends a datagram to the agent of a host; called with the host and the datagram.
    send_to_caller : callable
        Sends a packet to the caller of a flow; called with the flow and the packet.
    """

    send_to_agent: Callable[[int, bytes], None]
    send_to_caller: Callable[[FlowKey, bytes], None]


class BalancerSender:
    """Sends a balancer's messages and resets, and records what was not answered.

    Parameters
    ----------
    ingress : Ingress
        The balancer itself.
    catalogue : Catalogue
    transport : BalancerTransport
    codec : PacketCodec
    metrics : Metrics
    flow_cache : FlowCache
    agents : AgentTable
    detours : DetourTable
        Sends the messages to agents.
    """

    def __init__(
        self,
        *,
        ingress: Ingress,
        catalogue: Catalogue,
        transport: BalancerTransport,
        codec: PacketCodec,
        metrics: Metrics,
        flow_cache: FlowCache,
        agents: AgentTable,
        detours: DetourTable,
    ) -> None:
        self.ingress = ingress
        self.catalogue = catalogue
        self.transport = transport
        self.codec = codec
        self.metrics = metrics
        self.flow_cache = flow_cache
        self.agents = agents
        self.detours = detours
        self.header_revision = -1
        self.forward_header = b""

    def send(
        self,
        kind: int,
        host: int,
        body: bytes,
        *,
        service: int = 0,
        detail: int = 0,
    ) -> None:
        """Send a message to the agent of a host."""
        datagram = encode_message(
            kind,
            body,
            ingress=self.ingress,
            revision=self.catalogue.revision,
            service=service,
            detail=detail,
        )
        self.detours.send(host, datagram)

    def forward(self, host: int, packet: bytes) -> None:
        """Forward a caller's packet to the agent that holds its flow."""
        if self.header_revision != self.catalogue.revision:
            self.header_revision = self.catalogue.revision
            self.forward_header = encode_message(
                MessageKind.FORWARD,
                b"",
                ingress=self.ingress,
                revision=self.header_revision,
            )
        self.detours.send(host, self.forward_header + packet)

    def reset_flow(self, segment: Segment, reason: str) -> None:
        """Remove a flow from the cache and send a reset to its caller."""
        flow = segment.flow
        self.flow_cache.remove(flow)
        send_reset(
            flow,
            segment.acknowledged,
            reason,
            catalogue=self.catalogue,
            codec=self.codec,
            metrics=self.metrics,
            send_to_caller=self.transport.send_to_caller,
        )

    def end_attempts(self, flow: FlowKey, entry: CachedFlow) -> None:
        """Drop a packet after its last attempt; the caller retransmits it."""
        self.metrics.counters["drop.unanswered"] += 1
        log_event(
            "attempts_ended",
            flow=format_flow(flow),
            opens=entry.pending_segment is not None and entry.pending_segment.opens,
            attempts=entry.attempts,
            revision=self.catalogue.revision,
        )
        self.flow_cache.clear_attempts(flow, entry)

    def record_timeouts(
        self, event: str, flow: FlowKey, hosts: list[int], now: float
    ) -> None:
        """Record and log that the agents of an attempt did not answer in time."""
        for host in hosts:
            heard_at = self.agents.get(host).last_message_at
            self.agents.record_timeout(host, now)
            log_event(
                event,
                flow=format_flow(flow),
                agent=format_host(host),
                heard_s_ago=round(now - heard_at, 3) if heard_at else None,
                revision=self.catalogue.revision,
            )
