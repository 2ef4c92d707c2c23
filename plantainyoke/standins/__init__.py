"""Small stand-ins for what surrounds the system, for tests and the demo."""

from plantainyoke.standins._certificate import write_certificate
from plantainyoke.standins._fabric import Fabric
from plantainyoke.standins._fleet import EmbeddedFleet, FleetPlan, ServicePlan
from plantainyoke.standins._packet_site import (
    COLD_START_S,
    STORE_PORT,
    Machine,
    PacketSite,
    SitePlan,
)
from plantainyoke.standins._packet_world import (
    FakeCaller,
    FakeTarget,
    PacketWorld,
    write_packet,
)
from plantainyoke.standins._platform import PlatformStandin
from plantainyoke.standins._upstream import UpstreamOptions, UpstreamStandin

__all__ = [
    "COLD_START_S",
    "FakeTarget",
    "Machine",
    "STORE_PORT",
    "EmbeddedFleet",
    "FakeCaller",
    "Fabric",
    "FleetPlan",
    "PacketSite",
    "PacketWorld",
    "PlatformStandin",
    "ServicePlan",
    "SitePlan",
    "UpstreamOptions",
    "UpstreamStandin",
    "write_certificate",
    "write_packet",
]
