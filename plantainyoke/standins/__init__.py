"""Fakes and test rigs for tests, demos, the soak and benchmarks.

The fakes replace the processes around the load balancer: platform, upstreams, targets,
callers and the network. The rigs run balancers and agents with them, in one process,
as separate processes on loopback addresses, or in virtual time.
"""

from plantainyoke.standins._certificate import write_certificate
from plantainyoke.standins._fabric import Fabric
from plantainyoke.standins._fleet import EmbeddedFleet, FleetPlan, ServicePlan
from plantainyoke.standins._loopback import NoFreeNetworkError, reserve_network
from plantainyoke.standins._packet_fleet import (
    COLD_START_S,
    LoopbackHost,
    PacketFleet,
    PacketFleetPlan,
)
from plantainyoke.standins._packet_simulation import (
    SERVICE_TIME_S,
    FakeCaller,
    FakeTarget,
    PacketSimulation,
    write_packet,
)
from plantainyoke.standins._placement_simulation import (
    UNEVEN_SPEEDS,
    PlacementLoad,
    PlacementResult,
    PlacementSimulation,
)
from plantainyoke.standins._platform import FakePlatform
from plantainyoke.standins._store import STORE_PORT, FakeStore, StoreCopy
from plantainyoke.standins._upstream import FakeUpstream, UpstreamOptions

__all__ = [
    "COLD_START_S",
    "FakeTarget",
    "LoopbackHost",
    "NoFreeNetworkError",
    "SERVICE_TIME_S",
    "STORE_PORT",
    "FakeStore",
    "StoreCopy",
    "EmbeddedFleet",
    "FakeCaller",
    "Fabric",
    "FleetPlan",
    "PacketFleet",
    "PacketSimulation",
    "PlacementLoad",
    "UNEVEN_SPEEDS",
    "PlacementResult",
    "PlacementSimulation",
    "FakePlatform",
    "ServicePlan",
    "PacketFleetPlan",
    "UpstreamOptions",
    "FakeUpstream",
    "reserve_network",
    "write_certificate",
    "write_packet",
]
