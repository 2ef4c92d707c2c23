"""The agent of the packet path, which runs beside each target.

It admits new flows to the target, delivers callers' packets to it, and sends its
packets to callers. It also helps to find the holders of flows of other targets.
"""

from plantainyoke.packet_agent._delivery import PacketDelivery
from plantainyoke.packet_agent._program import PacketAgent
from plantainyoke.packet_agent._sender import AgentTransport

__all__ = ["PacketAgent", "AgentTransport", "PacketDelivery"]
