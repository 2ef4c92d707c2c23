"""What both programs of the packet path share."""

from plantainyoke.packet_node._codec import PacketCodec
from plantainyoke.packet_node._node import PacketNode, StoreReader
from plantainyoke.packet_node._pause import BootClockPauseDetector
from plantainyoke.packet_node._reset import send_reset
from plantainyoke.packet_node._settings import ProcessSettings

__all__ = [
    "ProcessSettings",
    "PacketCodec",
    "PacketNode",
    "StoreReader",
    "BootClockPauseDetector",
    "send_reset",
]
