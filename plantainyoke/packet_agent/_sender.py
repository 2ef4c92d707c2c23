"""Sending of an agent's messages to other processes, and of resets to callers.

`MessageSender` fills in the headers that all messages have in common, so that the code
that decides names only the kind, the destination and the content.
"""

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
    """Functions by which an agent sends packets and datagrams.

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
    """Encodes and sends an agent's messages and resets.

    Parameters
    ----------
    host : int
        Host of the agent.
    catalogue : Catalogue
    transport : AgentTransport
    codec : PacketCodec
    metrics : Metrics
    load : callable
        Returns the load of the target as a `Load`.
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
        """Send a message to the process on a host."""
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
        """Forward a caller's packet to another agent and count the hop."""
        self.send(kind, host, segment.raw, ingress=ingress, hops=hops + 1)

    def send_flow(self, kind: int, host: int, flow: FlowKey, ingress: Ingress) -> None:
        """Send a message about a flow, with this agent's load."""
        body = encode_load_body(flow, self.load())
        self.send(kind, host, body, ingress=ingress)

    def send_held(self, flow: FlowKey, ingress: Ingress, requester: int) -> None:
        """Report to a flow's ingress and a requester that the target holds the flow.

        Parameters
        ----------
        flow : bytes
        ingress : Ingress
        requester : int
            Host that sent the flow's packet here, 0 if there is none.
        """
        for host in {ingress.host, requester}:
            if host and host != self.host:
                self.send_flow(MessageKind.HELD, host, flow, ingress)

    def reset_flow(self, flow: FlowKey, acknowledged: int, reason: str) -> None:
        """Send a reset of a flow to its caller.

        Parameters
        ----------
        flow : bytes
        acknowledged : int
            Last sequence that the caller acknowledged.
        reason : str
            Suffix of the metric and field of the log line.
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
