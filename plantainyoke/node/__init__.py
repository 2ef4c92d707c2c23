"""Infrastructure shared by balancer and agent processes of the QUIC path.

Contains sockets and links to peers, configuration updates, pause detection and the
control server.
"""

from plantainyoke.node._clock import PauseDetector
from plantainyoke.node._control import ControlServer
from plantainyoke.node._follower import ConfigurationFollower
from plantainyoke.node._links import Link, LinkClosedError, LinkPool
from plantainyoke.node._node import ZONE_GRACE_S, Node, start_node

__all__ = [
    "ZONE_GRACE_S",
    "ConfigurationFollower",
    "ControlServer",
    "Link",
    "LinkClosedError",
    "LinkPool",
    "Node",
    "PauseDetector",
    "start_node",
]
