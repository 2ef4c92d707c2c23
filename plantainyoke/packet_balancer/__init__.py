"""Balancer of the packet path.

A balancer receives the packets of callers, places new flows on targets and forwards
each packet to the agent that holds its flow.
"""

from plantainyoke.packet_balancer._program import PacketBalancer
from plantainyoke.packet_balancer._sender import BalancerTransport
from plantainyoke.packet_balancer._steering import PacketSteering

__all__ = ["PacketBalancer", "BalancerTransport", "PacketSteering"]
