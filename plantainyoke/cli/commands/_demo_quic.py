"""``plantainyokectl demo-quic``."""

import argparse
import asyncio
import tempfile
from collections import Counter
from pathlib import Path

import uvloop

from plantainyoke.caller import CallerError, RefusedError, Session
from plantainyoke.cli._exit import EXIT_FAILURE, EXIT_SUCCESS
from plantainyoke.standins import EmbeddedFleet, FleetPlan, ServicePlan
from plantainyoke.telemetry import configure_logging

DEMO_NETWORK = "127.30"
STANDING_CALLERS = 4
PASSING_CALLERS = 4
ORDERS_PER_VISIT = 20
PAUSE_S = 0.02
PHASE_S = 2.5
QUIET_AFTER_S = 3.0
DRAWING_SIZE = 200_000


def add_parser(subparsers) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "demo-quic",
        help="run the QUIC path on embedded stand-ins",
        description="Run balancers, agents and stand-ins in this process, send orders "
        "and downloads, stop a balancer and an agent, take an availability zone out "
        "and back, and report which promises held.",
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--verbose", action="store_true", help="print every event")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Run the demo; succeed only if every promise held."""
    level = "info" if options.verbose else "error"
    configure_logging(level=level, process="demo-quic")
    with tempfile.TemporaryDirectory() as directory:
        failures = uvloop.run(Demo(Path(directory), options.seed).run())
    print("every promise held" if not failures else f"{failures} promises broken")
    return EXIT_FAILURE if failures else EXIT_SUCCESS


class Demo:
    """The callers, the story and the checks.

    Attributes
    ----------
    orders : Counter
        Orders by how they ended.
    """

    def __init__(self, directory: Path, seed: int) -> None:
        self.directory = directory
        self.seed = seed
        self.orders: Counter[str] = Counter()
        self.answered: set[str] = set()
        self.refused: set[str] = set()
        self.wrong_answers = 0
        self.downloads = 0
        self.cut_downloads = 0
        self.failures = 0
        self.stopping = asyncio.Event()

    async def run(self) -> int:
        """Play the story and return the number of broken promises."""
        services = (ServicePlan("orders", 7), ServicePlan("drawings", 3))
        plan = FleetPlan(DEMO_NETWORK, services=services)
        async with EmbeddedFleet(plan, self.directory, seed=self.seed) as fleet:
            print("2 balancers, 10 agents and upstreams in 3 availability zones")
            callers = [
                asyncio.create_task(self._order_repeatedly(fleet, number))
                for number in range(STANDING_CALLERS + PASSING_CALLERS)
            ]
            callers.append(asyncio.create_task(self._download_repeatedly(fleet)))
            await self._story(fleet)
            self.stopping.set()
            await asyncio.gather(*callers)
            self._check_records(fleet)
        return self.failures

    async def _story(self, fleet: EmbeddedFleet) -> None:
        await asyncio.sleep(PHASE_S)
        print(f"steady: {self.orders['answered']} orders answered")
        fleet.set_rotation([1])
        await fleet.kill("balancer-0")
        await asyncio.sleep(PHASE_S)
        lost = self.orders.total() - self.orders["answered"]
        self._check(lost == 0, "a balancer died: no order lost")
        await fleet.start_balancer(0)
        fleet.set_rotation([0, 1])
        await fleet.stop("orders-0")
        await asyncio.sleep(PHASE_S)
        lost = self.orders.total() - self.orders["answered"]
        self._check(lost == 0, "an agent drained and stopped: no order lost")
        await self._zone_story(fleet)

    async def _zone_story(self, fleet: EmbeddedFleet) -> None:
        zone = fleet.plan.zones[1]
        in_force_s = await fleet.wait_for_generation(fleet.set_zone(zone, "out"))
        print(f"{zone} taken out: in force everywhere after {in_force_s:.2f} s")
        await asyncio.sleep(QUIET_AFTER_S)
        before = _work_in_zone(fleet, zone)
        answered = self.orders["answered"]
        await asyncio.sleep(PHASE_S)
        self._check(
            _work_in_zone(fleet, zone) == before, f"{zone} receives no packet when out"
        )
        self._check(self.orders["answered"] > answered, "orders go on without it")
        in_force_s = await fleet.wait_for_generation(fleet.set_zone(zone, "in"))
        print(f"{zone} brought back: in force everywhere after {in_force_s:.2f} s")
        await asyncio.sleep(PHASE_S)
        self._check(_work_in_zone(fleet, zone) > before, f"{zone} works again")

    async def _order_repeatedly(self, fleet: EmbeddedFleet, number: int) -> None:
        """Send orders on a standing line, or on a new line for each visit."""
        visit = 0
        while not self.stopping.is_set():
            visit += 1
            async with fleet.open_session("orders", seed=number) as session:
                count = 0
                while not self.stopping.is_set():
                    if number >= STANDING_CALLERS and count == ORDERS_PER_VISIT:
                        break
                    count += 1
                    await self._order(session, f"order-{number}-{visit}-{count}")
                    await asyncio.sleep(PAUSE_S)

    async def _order(self, session: Session, key: str) -> None:
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

    async def _download_repeatedly(self, fleet: EmbeddedFleet) -> None:
        async with fleet.open_session("drawings") as session:
            path = f"/drawings/{DRAWING_SIZE}/t"
            while not self.stopping.is_set():
                try:
                    answer = await session.request("GET", path)
                except CallerError as error:
                    self.orders[f"download: {error}"] += 1
                else:
                    self.downloads += 1
                    self.cut_downloads += len(answer.body) != DRAWING_SIZE
                await asyncio.sleep(PAUSE_S * 5)

    def _check_records(self, fleet: EmbeddedFleet) -> None:
        runs: Counter[str] = Counter()
        for upstream in fleet.list_upstreams("orders"):
            runs.update(upstream.runs)
        overruns = sum(item.overruns for item in fleet.upstreams.values())
        print(f"{self.downloads} downloads, orders: {dict(self.orders)}")
        self._check(max(runs.values()) == 1, "no order ran twice")
        self._check(self.answered <= runs.keys(), "every answered order ran")
        self._check(not self.refused & runs.keys(), "every 'not run' is true")
        self._check(self.wrong_answers == 0, "every caller got its own answer")
        self._check(self.cut_downloads == 0, "every download was whole")
        self._check(overruns == 0, "no upstream got more than it bears")

    def _check(self, held: bool, promise: str) -> None:
        print(f"{'held  ' if held else 'BROKEN'}  {promise}")
        self.failures += not held


def _work_in_zone(fleet: EmbeddedFleet, zone: str) -> int:
    return sum(
        upstream.served
        for service in fleet.plan.services
        for index, upstream in enumerate(fleet.list_upstreams(service.name))
        if fleet.zone_of(index) == zone
    )
