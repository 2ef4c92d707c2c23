"""``plantainyokectl demo``: run the packet path as processes and inject faults.

Balancers and agents run as processes; the store, the routers, the targets and the
callers are fakes in this process. After each fault every flow sends a request, and
the demo succeeds only if all of them are answered.
"""

import argparse
import asyncio
import signal
import tempfile
from pathlib import Path

import uvloop

from plantainyoke.cli._exit import EXIT_FAILURE, EXIT_SUCCESS
from plantainyoke.standins import (
    FakeCaller,
    PacketFleet,
    PacketFleetPlan,
    reserve_network,
)

FLOW_COUNT = 40
ANSWER_TIMEOUT_S = 3.0
PROPAGATION_S = 1.0  # time for a change to reach every process


def add_parser(subparsers) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "demo",
        help="run the packet path as processes in a simulated environment",
        description="Start balancers and agents as processes, with fakes of the store, "
        "routers, targets and callers; kill a balancer, change a route's split, take "
        "an availability zone out, kill and restart every process, and report after "
        "each step whether every flow is still answered.",
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Run the demo; succeed only if every flow was answered after each step."""
    with tempfile.TemporaryDirectory() as directory, reserve_network() as prefix:
        plan = PacketFleetPlan(
            prefix,
            services={"orders": 4, "drawings": 2},
            balancers=3,
            zones=("plateau", "rufisque", "pikine"),
        )
        failures = uvloop.run(_run_scenario(plan, Path(directory), options.seed))
    print("every flow was answered" if not failures else f"{failures} requests failed")
    return EXIT_FAILURE if failures else EXIT_SUCCESS


async def _run_scenario(plan: PacketFleetPlan, directory: Path, seed: int) -> int:
    """Inject the faults; return the number of requests without an answer."""
    failures = 0
    async with PacketFleet(plan, directory, seed=seed) as fleet:
        callers = [fleet.open_flow() for _ in range(FLOW_COUNT)]
        await asyncio.sleep(PROPAGATION_S)
        failures += await _send_requests(fleet, callers, "flows opened")
        fleet.send_signal("balancer-0", signal.SIGKILL)
        failures += await _send_requests(fleet, callers, "a balancer was killed")
        fleet.publish_shares(drawings=1)
        await asyncio.sleep(PROPAGATION_S)
        failures += await _send_requests(
            fleet, callers, "the route was moved to another service"
        )
        fleet.take_zone_out("rufisque")
        await asyncio.sleep(PROPAGATION_S)
        failures += await _send_requests(fleet, callers, "a zone was taken out")
        for name in fleet.hosts:
            await fleet.restart(name, signal.SIGKILL)
        await fleet.wait_until_ready(*fleet.hosts)
        failures += await _send_requests(
            fleet, callers, "all processes were killed and restarted"
        )
    return failures


async def _send_requests(
    fleet: PacketFleet, callers: list[FakeCaller], event: str
) -> int:
    """Send a request on every flow; return the number without an answer."""
    started = fleet.now
    for caller in callers:
        caller.send_request()
    deadline = started + ANSWER_TIMEOUT_S
    while fleet.now < deadline and not all(_is_answered(one) for one in callers):
        await asyncio.sleep(0.01)
    answered = sum(_is_answered(caller) for caller in callers)
    print(
        f"{event}: {answered} of {len(callers)} flows answered "
        f"within {fleet.now - started:.2f} s"
    )
    return len(callers) - answered


def _is_answered(caller: FakeCaller) -> bool:
    return caller.reset_at is None and caller.last_answered == caller.last_requested
