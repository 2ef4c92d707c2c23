"""One seed: series of faults that overlap, calm, and what must hold at its end."""

import asyncio
import os
import random
from dataclasses import dataclass, field
from pathlib import Path

from plantainyoke.standins import FakeCaller, PacketFleetPlan
from soak._faults import FAULTS, PLANNED_WORK, Fault
from soak._site import SoakSite
from soak._witness import Promise, Violation

MAX_FLOWS = 150
OPEN_INTERVAL_S = 0.03
REQUEST_INTERVAL_S = 0.25
MAX_PAUSE_S = 1.2  # between faults of a series
CALM_S = 10.0  # between two series: long enough for bounds to be judged
SETTLE_S = 5.0  # suspicions end, and every process runs
FOUND_S = 3.0  # two seconds to reach the holder and a retransmission
NEW_FLOWS = 60
MEMORY_LIMIT_MB = 100
SERVICES = ("orders", "drawings")
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True)
class SoakOptions:
    """What a seed runs on.

    Attributes
    ----------
    network_prefix : str
        First two octets of its loopback addresses.
    balancers, agents : int
    series : int
        Number of series of faults.
    faults : int
        Faults of a series.
    """

    network_prefix: str
    balancers: int = 3
    agents: int = 8
    series: int = 2
    faults: int = 7


@dataclass
class SoakResult:
    """What became of a seed."""

    seed: int
    faults: list[str] = field(default_factory=list)
    flows: int = 0
    answers: int = 0
    violations: list[Violation] = field(default_factory=list)


async def run_seed(seed: int, options: SoakOptions, folder: Path) -> SoakResult:
    """Run one seed and return what was seen."""
    chooser = random.Random(seed)
    share = options.agents // len(SERVICES)
    plan = PacketFleetPlan(
        options.network_prefix,
        services={SERVICES[0]: options.agents - share, SERVICES[1]: share},
        balancers=options.balancers,
        zones=("a", "b", "c") if chooser.random() < 0.5 else ("a", "b"),
        cold_flows_per_s=chooser.choice([0.0, 6.0, 20.0]),
    )
    async with SoakSite(plan, folder, seed=seed) as site:
        result = SoakResult(seed)
        callers = asyncio.create_task(_run_callers(site))
        for _ in range(options.series):
            await _run_series(site, chooser, options.faults, result.faults)
            await _do_planned_work(site, chooser, result.faults)
        if callers.done():
            callers.result()  # raises what ended it
        callers.cancel()
        await _check_end(site)
        result.flows = len(site.callers)
        result.answers = sum(caller.last_answered for caller in site.callers.values())
        result.violations = site.witness.violations
        return result


async def _run_callers(site: SoakSite) -> None:
    """Open flows and keep using them until their processes are gone."""
    while True:
        await asyncio.sleep(OPEN_INTERVAL_S)
        living = [one for one in site.callers.values() if site.is_open(one)]
        if len(living) < MAX_FLOWS:
            site.open_flow()
        share = OPEN_INTERVAL_S / REQUEST_INTERVAL_S
        for caller in living:
            if (
                caller.last_answered == caller.last_requested
                and site.random.random() < share
            ):
                caller.send_request()


async def _run_series(
    site: SoakSite, chooser: random.Random, count: int, names: list[str]
) -> None:
    """Start faults one after the other, and wait for the end of all."""
    running = []
    for _ in range(count):
        fault = chooser.choice(FAULTS + PLANNED_WORK)
        names.append(fault.__name__)
        running.append(asyncio.create_task(_disturb(site, fault)))
        await asyncio.sleep(chooser.uniform(0, MAX_PAUSE_S))
    await asyncio.gather(*running)
    site.network.heal()


async def _disturb(site: SoakSite, fault: Fault) -> None:
    span = [site.now, float("inf")]
    site.witness.faults.append(span)
    await fault(site)
    span[1] = site.now


async def _do_planned_work(
    site: SoakSite, chooser: random.Random, names: list[str]
) -> None:
    """Change what is published while nothing else happens."""
    await _wait_until_ready(site)
    await asyncio.sleep(SETTLE_S)
    work = chooser.choice(PLANNED_WORK)
    names.append(f"calm {work.__name__}")
    await asyncio.gather(work(site), asyncio.sleep(CALM_S))


async def _wait_until_ready(site: SoakSite) -> None:
    try:
        await site.wait_until_ready(*site.hosts)
    except TimeoutError:
        late = [name for name in site.hosts if not await site.is_ready(name)]
        site.witness.report(
            site.now, Promise.PROCESSES_READY, f"{late} after all faults ended"
        )


async def _check_end(site: SoakSite) -> None:
    """Check that every flow is found, new ones are served, and processes are well."""
    living = [one for one in site.callers.values() if site.is_open(one)]
    await _check_answers(site, living, Promise.FLOWS_FOUND)
    fresh = [site.open_flow() for _ in range(NEW_FLOWS)]
    await _wait_for(lambda: all(one.is_open for one in fresh))
    await _check_answers(site, fresh, Promise.NEW_FLOWS_SERVED)
    for name in site.hosts:
        _check_process(site, name)


async def _check_answers(site: SoakSite, callers: list[FakeCaller], promise: Promise):
    for caller in callers:
        caller.send_request()
    await _wait_for(
        lambda: all(one.last_answered == one.last_requested for one in callers)
    )
    for caller in callers:
        if caller.last_answered != caller.last_requested:
            port = int.from_bytes(caller.flow[4:6], "big")
            holder = site.find_holder(caller)
            reset = "reset" if caller.reset_at is not None else "silent"
            site.witness.report(site.now, promise, f"port {port} {reset} {holder}")


async def _wait_for(condition) -> None:
    try:
        async with asyncio.timeout(FOUND_S):
            while not condition():
                await asyncio.sleep(0.02)
    except TimeoutError:
        return


def _check_process(site: SoakSite, name: str) -> None:
    process = site.hosts[name].process
    if process.poll() is not None:
        site.witness.report(
            site.now, Promise.PROCESSES_READY, f"{name} does not run at the end"
        )
        return
    pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
    memory_mb = pages * PAGE_SIZE / 1e6
    if memory_mb > MEMORY_LIMIT_MB:
        site.witness.report(
            site.now, Promise.MEMORY_BOUNDED, f"{name} {memory_mb:.0f} MB"
        )
    log = site.read_log(name)
    for sign in ("Traceback", "event=task_failed"):
        if sign in log:
            site.witness.report(site.now, Promise.LOGS_CLEAN, f"{name} wrote {sign}")
