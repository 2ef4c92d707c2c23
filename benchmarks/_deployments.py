"""Fleet plans for ``bench_fleet``, in the sizes of today's deployments.

Each plan names the zones, balancers and services; all upstreams have the same service
time and warm-up.
"""

from dataclasses import dataclass, field

from plantainyoke.standins import FleetPlan, ServicePlan, UpstreamOptions

SERVICE_TIME_S = 0.03
WARM_UP_REQUESTS = 20


@dataclass(frozen=True)
class Deployment:
    """One deployment and the services that its callers use.

    Attributes
    ----------
    plan : FleetPlan
    one_way_delay_s : float
        Delay between callers and balancers in each direction.
    order_service, file_service : str
        Services that receive orders and downloads.
    baselines : tuple of str
        Variants to compare with, names of ``benchmarks._variants``.
    """

    plan: FleetPlan
    one_way_delay_s: float
    order_service: str
    file_service: str
    baselines: tuple[str, ...] = field(default=("hash", "no-relay"))


def _upstream_options(slots: int) -> UpstreamOptions:
    return UpstreamOptions(
        slots=slots, service_time_s=SERVICE_TIME_S, warm_after=WARM_UP_REQUESTS
    )


DEPLOYMENTS = {
    "diop": Deployment(
        FleetPlan(
            "127.20",
            zones=("plateau", "rufisque", "pikine"),
            balancers=3,
            services=(
                ServicePlan("order-tracking", 7, _upstream_options(4)),
                ServicePlan("drawings", 3, _upstream_options(4)),
            ),
        ),
        0.003,
        "order-tracking",
        "drawings",
    ),
    "halyard": Deployment(
        FleetPlan(
            "127.21",
            zones=("loft", "wharf-shed", "office-annex"),
            balancers=3,
            services=(
                ServicePlan("order-desk", 7, _upstream_options(2)),
                ServicePlan("certificates", 3, _upstream_options(2)),
            ),
        ),
        0.003,
        "order-desk",
        "certificates",
    ),
}
