"""``plantainyokectl demo-quic``: run the QUIC path in one process and inject faults.

Callers send orders and download drawings while a balancer is killed, an agent is
stopped and an availability zone is taken out and brought back. The demo succeeds
only if every guarantee held, such as that no order ran twice.
"""

import argparse
import asyncio
import tempfile
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path

import uvloop

from plantainyoke.caller import CallerError, RefusedError, Session
from plantainyoke.cli._exit import EXIT_FAILURE, EXIT_SUCCESS
from plantainyoke.standins import (
    EmbeddedFleet,
    FleetPlan,
    ServicePlan,
    reserve_network,
)
from plantainyoke.telemetry import configure_logging

LONG_SESSION_CALLERS = 4
SHORT_SESSION_CALLERS = 4
ORDERS_PER_SHORT_SESSION = 20
REQUEST_GAP_S = 0.02
PHASE_S = 2.5
ZONE_DRAIN_S = 3.0  # time allowed until a zone that is out serves no request
DRAWING_BYTES = 200_000


def add_parser(subparsers) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "demo-quic",
        help="run the QUIC path in one process in a simulated environment",
        description="Run balancers, agents and fakes of their environment in this "
        "process, send orders and downloads, stop a balancer and an agent, take an "
        "availability zone out and bring it back, and report which guarantees held.",
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--verbose", action="store_true", help="log every event")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Run the demo; succeed only if every guarantee held."""
    level = "info" if options.verbose else "error"
    configure_logging(level=level, process="demo-quic")
    with tempfile.TemporaryDirectory() as directory:
        failures = uvloop.run(Demo(Path(directory), options.seed).run())
    print("every guarantee held" if not failures else f"{failures} guarantees broken")
    return EXIT_FAILURE if failures else EXIT_SUCCESS


class Demo:
    """Runs callers against a fleet, injects faults and checks the guarantees.

    Parameters
    ----------
    directory : Path
        Where the certificate is written.
    seed : int
        Seed of the fleet's random number generators.

    Attributes
    ----------
    orders : Counter
        Number of orders by outcome; errors of downloads are counted here too.
    answered : set of str
        Idempotency keys of the orders that were answered.
    refused : set of str
        Idempotency keys of the orders that were refused as not run.
    wrong_answers : int
        Answers that do not echo the key of their order.
    downloads : int
        Downloads that were answered.
    truncated_downloads : int
        Answered downloads of the wrong length.
    failures : int
        Guarantees that did not hold.
    stopping : asyncio.Event
        Set when the callers have to stop.
    """

    def __init__(self, directory: Path, seed: int) -> None:
        self.directory = directory
        self.seed = seed
        self.orders: Counter[str] = Counter()
        self.answered: set[str] = set()
        self.refused: set[str] = set()
        self.wrong_answers = 0
        self.downloads = 0
        self.truncated_downloads = 0
        self.failures = 0
        self.stopping = asyncio.Event()

    async def run(self) -> int:
        """Run the scenario and return the number of guarantees that did not hold."""
        services = (ServicePlan("orders", 7), ServicePlan("drawings", 3))
        async with AsyncExitStack() as stack:
            network_prefix = stack.enter_context(reserve_network())
            plan = FleetPlan(network_prefix, services=services)
            fleet = await stack.enter_async_context(
                EmbeddedFleet(plan, self.directory, seed=self.seed)
            )
            print("2 balancers, 10 agents and upstreams in 3 availability zones")
            callers = [
                asyncio.create_task(self._send_orders(fleet, number))
                for number in range(LONG_SESSION_CALLERS + SHORT_SESSION_CALLERS)
            ]
            callers.append(asyncio.create_task(self._download_drawings(fleet)))
            await self._run_scenario(fleet)
            self.stopping.set()
            await asyncio.gather(*callers)
            self._check_records(fleet)
        return self.failures

    async def _run_scenario(self, fleet: EmbeddedFleet) -> None:
        """Kill a balancer, stop an agent, then take a zone out."""
        await asyncio.sleep(PHASE_S)
        print(f"steady: {self.orders['answered']} orders answered")
        fleet.set_rotation([1])
        await fleet.kill("balancer-0")
        await asyncio.sleep(PHASE_S)
        lost = self.orders.total() - self.orders["answered"]
        self._check(lost == 0, "a balancer was killed: no order lost")
        await fleet.start_balancer(0)
        fleet.set_rotation([0, 1])
        await fleet.stop("orders-0")
        await asyncio.sleep(PHASE_S)
        lost = self.orders.total() - self.orders["answered"]
        self._check(lost == 0, "an agent was drained and stopped: no order lost")
        await self._run_zone_scenario(fleet)

    async def _run_zone_scenario(self, fleet: EmbeddedFleet) -> None:
        """Take a zone out, check that it receives no requests, and bring it back."""
        zone = fleet.plan.zones[1]
        in_force_s = await fleet.wait_for_generation(fleet.set_zone_state(zone, "out"))
        print(f"{zone} taken out: in force everywhere after {in_force_s:.2f} s")
        await asyncio.sleep(ZONE_DRAIN_S)
        before = _count_served(fleet, zone)
        answered = self.orders["answered"]
        await asyncio.sleep(PHASE_S)
        self._check(
            _count_served(fleet, zone) == before,
            f"{zone} serves no request while out",
        )
        self._check(
            self.orders["answered"] > answered, "orders are answered without it"
        )
        in_force_s = await fleet.wait_for_generation(fleet.set_zone_state(zone, "in"))
        print(f"{zone} brought back: in force everywhere after {in_force_s:.2f} s")
        await asyncio.sleep(PHASE_S)
        self._check(
            _count_served(fleet, zone) > before, f"{zone} serves requests again"
        )

    async def _send_orders(self, fleet: EmbeddedFleet, number: int) -> None:
        """Send orders on one session, or on a new session after a number of orders.

        The callers with the lowest numbers keep one session; the others open a new one
        after ``ORDERS_PER_SHORT_SESSION`` orders.
        """
        session_number = 0
        while not self.stopping.is_set():
            session_number += 1
            async with fleet.open_session("orders", seed=number) as session:
                count = 0
                while not self.stopping.is_set():
                    if (
                        number >= LONG_SESSION_CALLERS
                        and count == ORDERS_PER_SHORT_SESSION
                    ):
                        break
                    count += 1
                    await self._send_order(
                        session, f"order-{number}-{session_number}-{count}"
                    )
                    await asyncio.sleep(REQUEST_GAP_S)

    async def _send_order(self, session: Session, key: str) -> None:
        """Send one order and record its outcome."""
        try:
            answer = await session.request(
                "POST", "/orders", body=key.encode(), key=key
            )
        except RefusedError:
            self.refused.add(key)
            self.orders["not run"] += 1
        except CallerError as error:
            self.orders[str(error)] += 1
        else:
            self.answered.add(key)
            self.orders["answered"] += 1
            self.wrong_answers += f'"echo": "{key}"'.encode() not in answer.body

    async def _download_drawings(self, fleet: EmbeddedFleet) -> None:
        """Download drawings one after another and record their outcome."""
        async with fleet.open_session("drawings") as session:
            path = f"/drawings/{DRAWING_BYTES}/t"
            while not self.stopping.is_set():
                try:
                    answer = await session.request("GET", path)
                except CallerError as error:
                    self.orders[f"download: {error}"] += 1
                else:
                    self.downloads += 1
                    self.truncated_downloads += len(answer.body) != DRAWING_BYTES
                await asyncio.sleep(REQUEST_GAP_S * 5)

    def _check_records(self, fleet: EmbeddedFleet) -> None:
        """Compare the outcomes that callers saw with what the upstreams ran."""
        runs: Counter[str] = Counter()
        for upstream in fleet.list_upstreams("orders"):
            runs.update(upstream.runs)
        overruns = sum(item.overruns for item in fleet.upstreams.values())
        print(f"{self.downloads} downloads, orders: {dict(self.orders)}")
        self._check(max(runs.values()) == 1, "no order ran twice")
        self._check(self.answered <= runs.keys(), "every answered order ran")
        self._check(not self.refused & runs.keys(), "no order refused as 'not run' ran")
        self._check(self.wrong_answers == 0, "every answer belongs to its order")
        self._check(self.truncated_downloads == 0, "every download was complete")
        self._check(overruns == 0, "no upstream was overloaded")

    def _check(self, held: bool, guarantee: str) -> None:
        print(f"{'held  ' if held else 'BROKEN'}  {guarantee}")
        self.failures += not held


def _count_served(fleet: EmbeddedFleet, zone: str) -> int:
    """Return the number of requests that the upstreams of a zone have served."""
    return sum(
        upstream.served
        for service in fleet.plan.services
        for index, upstream in enumerate(fleet.list_upstreams(service.name))
        if fleet.get_zone(index) == zone
    )
