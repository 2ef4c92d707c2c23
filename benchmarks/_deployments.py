"""The sizes of today's deployments."""

from dataclasses import dataclass, field

from plantainyoke.standins import FleetPlan, ServicePlan, UpstreamOptions

SERVICE_TIME_S = 0.03
WARM_AFTER = 20


@dataclass(frozen=True)
class Deployment:
    """One deployment and the load on it.

    Attributes
    ----------
    plan : FleetPlan
    one_way_s : float
        Delay between callers and balancers.
    order_service, file_service : str
    """

    plan: FleetPlan
    one_way_s: float
    order_service: str
    file_service: str
    baselines: tuple[str, ...] = field(default=("hash", "no-relay"))


def _options(slots: int) -> UpstreamOptions:
    return UpstreamOptions(
        slots=slots, service_time_s=SERVICE_TIME_S, warm_after=WARM_AFTER
    )


DEPLOYMENTS = {
    "diop": Deployment(
        FleetPlan(
            "127.20",
            zones=("plateau", "rufisque", "pikine"),
            balancers=3,
            services=(
                ServicePlan("order-tracking", 7, _options(4)),
                ServicePlan("drawings", 3, _options(4)),
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
                ServicePlan("order-desk", 7, _options(2)),
                ServicePlan("certificates", 3, _options(2)),
            ),
        ),
        0.003,
        "order-desk",
        "certificates",
    ),
}
