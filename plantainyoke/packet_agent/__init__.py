"""The agent of the packet path, beside each target."""

from plantainyoke.packet_agent._delivery import PacketDelivery
from plantainyoke.packet_agent._program import PacketAgent
from plantainyoke.packet_agent._sender import AgentTransport

__all__ = ["PacketAgent", "AgentTransport", "PacketDelivery"]
