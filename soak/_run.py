"""Run of one seed of the soak.

Each series of overlapping faults is followed by a quiet phase with one planned
operation. At the end, open and new flows, processes, memory and logs are checked.
"""

import asyncio
import os
import random
from dataclasses import dataclass, field
from pathlib import Path

from plantainyoke.standins import FakeCaller, PacketFleetPlan
from soak._faults import FAULTS, PLANNED_WORK, Fault
from soak._site import SoakSite
from soak._witness import Invariant, Violation

MAX_FLOWS = 150
OPEN_INTERVAL_S = 0.03
REQUEST_INTERVAL_S = 0.25  # mean, for each flow
MAX_FAULT_INTERVAL_S = 1.2  # between the starts of two faults of a series
CALM_S = 10.0  # quiet phase after a series, long enough to check each deadline
SETTLE_S = 5.0  # until failure suspicions end and all processes run
ANSWER_TIMEOUT_S = 3.0  # 2 s to reach the holder, and a retransmission
NEW_FLOW_COUNT = 60
RECOVERY_TIMEOUT_S = 18.0  # 16 s until the next trial flow at the latest, and 2 s
RECOVERY_OPEN_INTERVAL_S = 0.1
MEMORY_LIMIT_MB = 100
SERVICES = ("orders", "drawings")
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True)
class SoakOptions:
    """Size of the site and number of faults of a run.

    Attributes
    ----------
    network_prefix : str
        First two octets of the site's loopback addresses.
    balancers, agents : int
        Number of processes.
    series : int
        Number of fault series.
    faults : int
        Number of faults in each series.
    """

    network_prefix: str
    balancers: int = 3
    agents: int = 8
    series: int = 2
    faults: int = 7


@dataclass
class SoakResult:
    """Result of one seed.

    Attributes
    ----------
    seed : int
    faults : list of str
        Names of the faults and planned operations, in the order of their start.
    flows, answers : int
        Number of flows opened and of requests answered.
    violations : list of Violation
    """

    seed: int
    faults: list[str] = field(default_factory=list)
    flows: int = 0
    answers: int = 0
    violations: list[Violation] = field(default_factory=list)


async def run_seed(seed: int, options: SoakOptions, directory: Path) -> SoakResult:
    """Run one seed and return its result."""
    rng = random.Random(seed)
    second_count = options.agents // len(SERVICES)
    plan = PacketFleetPlan(
        options.network_prefix,
        services={
            SERVICES[0]: options.agents - second_count,
            SERVICES[1]: second_count,
        },
        balancers=options.balancers,
        zones=("a", "b", "c") if rng.random() < 0.5 else ("a", "b"),
        cold_flows_per_s=rng.choice([0.0, 6.0, 20.0]),
    )
    async with SoakSite(plan, directory, seed=seed) as site:
        result = SoakResult(seed)
        callers = asyncio.create_task(_run_callers(site))
        for _ in range(options.series):
            await _run_series(site, rng, options.faults, result.faults)
            await _run_planned_work(site, rng, result.faults)
        if callers.done():
            callers.result()  # raises the error that ended the task
        callers.cancel()
        await _check_final_state(site)
        result.flows = len(site.callers)
        result.answers = sum(caller.last_answered for caller in site.callers.values())
        result.violations = site.checker.violations
        return result


async def _run_callers(site: SoakSite) -> None:
    """Open flows and send requests on them until cancelled."""
    while True:
        await asyncio.sleep(OPEN_INTERVAL_S)
        open_callers = [one for one in site.callers.values() if site.is_open(one)]
        if len(open_callers) < MAX_FLOWS:
            site.open_flow()
        request_probability = OPEN_INTERVAL_S / REQUEST_INTERVAL_S
        for caller in open_callers:
            if (
                caller.last_answered == caller.last_requested
                and site.rng.random() < request_probability
            ):
                caller.send_request()


async def _run_series(
    site: SoakSite, rng: random.Random, count: int, fault_names: list[str]
) -> None:
    """Start faults one after the other and wait until all have ended."""
    running = []
    for _ in range(count):
        fault = rng.choice(FAULTS + PLANNED_WORK)
        fault_names.append(fault.__name__)
        running.append(asyncio.create_task(_run_fault(site, fault)))
        await asyncio.sleep(rng.uniform(0, MAX_FAULT_INTERVAL_S))
    await asyncio.gather(*running)
    site.network.heal()


async def _run_fault(site: SoakSite, fault: Fault) -> None:
    interval = [site.now, float("inf")]
    site.checker.faults.append(interval)
    await fault(site)
    interval[1] = site.now


async def _run_planned_work(
    site: SoakSite, rng: random.Random, fault_names: list[str]
) -> None:
    """Run one planned operation while no fault is active."""
    await _wait_until_ready(site)
    await asyncio.sleep(SETTLE_S)
    operation = rng.choice(PLANNED_WORK)
    fault_names.append(f"calm {operation.__name__}")
    await asyncio.gather(operation(site), asyncio.sleep(CALM_S))


async def _wait_until_ready(site: SoakSite) -> None:
    try:
        await site.wait_until_ready(*site.hosts)
    except TimeoutError:
        not_ready = [name for name in site.hosts if not await site.is_ready(name)]
        site.checker.record_violation(
            site.now, Invariant.PROCESSES_READY, f"{not_ready} after all faults ended"
        )


async def _check_final_state(site: SoakSite) -> None:
    """Check open flows, new flows and processes after the last series."""
    open_callers = [one for one in site.callers.values() if site.is_open(one)]
    await _check_answers(site, open_callers, Invariant.OPEN_FLOWS_FOUND)
    new_callers = [site.open_flow() for _ in range(NEW_FLOW_COUNT)]
    await _wait_until(lambda: all(one.is_open for one in new_callers))
    await _check_answers(site, new_callers, Invariant.NEW_FLOWS_SERVED)
    await _check_recovered_targets(site)
    for name in site.hosts:
        _check_process(site, name)


async def _check_recovered_targets(site: SoakSite) -> None:
    """Check that targets that no longer reset requests get flows again."""

    def list_without_flow() -> list[str]:
        return [
            site.find_host(target.host).name
            for ended_at, target in site.recovered_targets
            if site.targets[target.host] is target
            and target.entry.service in site.checker.shares.value
            and not any(at > ended_at for at, _ in target.opened_flows)
        ]

    deadline = site.now + RECOVERY_TIMEOUT_S
    while (names := list_without_flow()) and site.now < deadline:
        site.open_flow()
        await asyncio.sleep(RECOVERY_OPEN_INTERVAL_S)
    for name in names:
        site.checker.record_violation(site.now, Invariant.TARGETS_RECOVERED, name)


async def _check_answers(
    site: SoakSite, callers: list[FakeCaller], invariant: Invariant
):
    for caller in callers:
        caller.send_request()
    await _wait_until(
        lambda: all(one.last_answered == one.last_requested for one in callers)
    )
    for caller in callers:
        if caller.last_answered != caller.last_requested:
            port = int.from_bytes(caller.flow[4:6], "big")
            holder = site.find_holder(caller)
            outcome = "reset" if caller.reset_at is not None else "silent"
            site.checker.record_violation(
                site.now, invariant, f"port {port} {outcome}, held by {holder}"
            )


async def _wait_until(condition) -> None:
    """Wait until a condition holds or the timeout for answers has passed."""
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.02)
    except TimeoutError:
        return


def _check_process(site: SoakSite, name: str) -> None:
    process = site.hosts[name].process
    if process.poll() is not None:
        site.checker.record_violation(
            site.now, Invariant.PROCESSES_READY, f"{name} is not running at the end"
        )
        return
    pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
    memory_mb = pages * PAGE_SIZE / 1e6
    if memory_mb > MEMORY_LIMIT_MB:
        site.checker.record_violation(
            site.now, Invariant.MEMORY_BOUNDED, f"{name} uses {memory_mb:.0f} MB"
        )
    log = site.read_log(name)
    for marker in ("Traceback", "event=task_failed"):
        if marker in log:
            site.checker.record_violation(
                site.now, Invariant.LOGS_CLEAN, f"{name} wrote {marker}"
            )
