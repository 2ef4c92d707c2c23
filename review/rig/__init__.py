"""Stand-ins for the users' platform, and a runner for the project's own programs.

The modules use the standard library only. They follow the users' pages: the store
speaks HTTP, targets and callers exchange packets in the users' format, and a router
hashes each packet over the balancers that are ready.
"""

from review.rig.callers import Caller, Flow, Outcome, Router
from review.rig.deployment import (
    CannotRunError,
    Deployment,
    Host,
    Plan,
    make_configuration,
    make_route,
)
from review.rig.record import Record, run_case
from review.rig.store import Store
from review.rig.targets import StandInTarget

__all__ = [
    "Caller",
    "CannotRunError",
    "Deployment",
    "Flow",
    "Host",
    "Outcome",
    "Plan",
    "Record",
    "Router",
    "StandInTarget",
    "Store",
    "make_configuration",
    "make_route",
    "run_case",
]
