"""Parts that the balancer and agent processes of the packet path share.

These are the process with its sockets, catalogue and queries, the settings, the codec
for packets, the detection of pauses, and the resets that are sent to callers.
"""

from plantainyoke.packet_node._codec import PacketCodec
from plantainyoke.packet_node._node import PacketNode, StoreReader
from plantainyoke.packet_node._pause import BootClockPauseDetector
from plantainyoke.packet_node._reset import send_reset
from plantainyoke.packet_node._settings import (
    ALL_FEATURES,
    FeatureSettings,
    ProcessSettings,
)

__all__ = [
    "ALL_FEATURES",
    "FeatureSettings",
    "ProcessSettings",
    "PacketCodec",
    "PacketNode",
    "StoreReader",
    "BootClockPauseDetector",
    "send_reset",
]
