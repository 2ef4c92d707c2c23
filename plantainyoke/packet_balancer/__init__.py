"""The balancer of the packet path, where callers' packets arrive."""

from plantainyoke.packet_balancer._program import PacketBalancer
from plantainyoke.packet_balancer._steering import BalancerTransport, PacketSteering

__all__ = ["PacketBalancer", "BalancerTransport", "PacketSteering"]
