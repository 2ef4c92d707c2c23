"""What an agent sends: messages to other processes, and resets to callers."""

from collections.abc import Callable

import msgspec

from plantainyoke.catalogue import Catalogue
from plantainyoke.flows import (
    FlowKey,
    Ingress,
    Load,
    MessageKind,
    Segment,
    encode_load_body,
    encode_message,
)
from plantainyoke.packet_node import PacketCodec, send_reset
from plantainyoke.telemetry import Metrics


class AgentTransport(msgspec.Struct, frozen=True):
    """Ways out of an agent.

    Attributes
    ----------
    send_to_target : callable
        Called with a packet.
    send_to_caller : callable
        Called with a flow and a packet.
    send_to_host : callable
        Called with a host and a datagram.
    """

    send_to_target: Callable[[bytes], None]
    send_to_caller: Callable[[FlowKey, bytes], None]
    send_to_host: Callable[[int, bytes], None]


class MessageSender:
    """Writes and sends an agent's messages and resets.

    Parameters
    ----------
    host : int
        The agent's own host.
    catalogue : Catalogue
    transport : AgentTransport
    codec : PacketCodec
    metrics : Metrics
    load : callable
        Returns the load of the target.
    """

    def __init__(
        self,
        *,
        host: int,
        catalogue: Catalogue,
        transport: AgentTransport,
        codec: PacketCodec,
        metrics: Metrics,
        load: Callable[[], Load],
    ) -> None:
        self.host = host
        self.catalogue = catalogue
        self.transport = transport
        self.codec = codec
        self.metrics = metrics
        self.load = load

    def send(
        self,
        kind: int,
        host: int,
        body: bytes,
        *,
        ingress: Ingress,
        service: int = 0,
        hops: int = 0,
        detail: int = 0,
    ) -> None:
        """Send a message to a process."""
        datagram = encode_message(
            kind,
            body,
            ingress=ingress,
            revision=self.catalogue.revision,
            service=service,
            hops=hops,
            detail=detail,
        )
        self.transport.send_to_host(host, datagram)

    def forward(
        self, kind: int, host: int, segment: Segment, ingress: Ingress, hops: int
    ) -> None:
        """Send a caller's packet on to another agent."""
        self.send(kind, host, segment.raw, ingress=ingress, hops=hops + 1)

    def send_flow(self, kind: int, host: int, flow: FlowKey, ingress: Ingress) -> None:
        """Send a message about a flow, with this agent's load."""
        body = encode_load_body(flow, self.load())
        self.send(kind, host, body, ingress=ingress)

    def send_held(self, flow: FlowKey, ingress: Ingress, asker: int) -> None:
        """Tell a flow's balancer, and who asked for it, that the target holds it."""
        for host in {ingress.host, asker}:
            if host and host != self.host:
                self.send_flow(MessageKind.HELD, host, flow, ingress)

    def reset_flow(self, flow: FlowKey, acknowledged: int, reason: str) -> None:
        """Reset a flow.

        Parameters
        ----------
        flow : bytes
        acknowledged : int
            What its caller acknowledged last.
        reason : str
        """
        send_reset(
            flow,
            acknowledged,
            reason,
            catalogue=self.catalogue,
            codec=self.codec,
            metrics=self.metrics,
            send_to_caller=self.transport.send_to_caller,
        )
