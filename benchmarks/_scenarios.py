"""Failures and planned changes that ``bench_fleet`` applies to a fleet under load.

Each scenario is a coroutine that changes a running fleet and returns its
measurements; ``SCENARIOS`` lists them by the name on the command line.
"""

import asyncio
import time

from benchmarks._process_fleet import ProcessFleet

PHASE_S = 6.0
SETTLE_S = 3.0
ZONE_OUT_WAIT_S = 4.0
STEP_INTERVAL_S = 1.0
RECOVERY_TIMEOUT_S = 20.0
SILENCED_PATH_SHARE = 0.3
PROCESS_PAUSE_S = 4.0


async def steady(fleet: ProcessFleet) -> dict:
    """Run without any change."""
    before = await fleet.fetch_statuses()
    started = time.time()
    await asyncio.sleep(PHASE_S)
    after = await fleet.fetch_statuses()
    return {
        "control_bytes_per_s": compute_control_rates(
            before, after, time.time() - started
        )
    }


async def zone_out_and_in(fleet: ProcessFleet) -> dict:
    """Take one availability zone out and bring it back."""
    zone = fleet.plan.zones[1]
    calls_before = fleet.platform.calls.total()
    before = await fleet.fetch_statuses()
    started = time.time()
    out_s = await fleet.wait_for_generation(fleet.set_zone_state(zone, "out"))
    await asyncio.sleep(max(0.0, ZONE_OUT_WAIT_S - out_s))
    last_packet_s = await _measure_last_packet_s(fleet, zone, started)
    await asyncio.sleep(SETTLE_S)
    back_s = await fleet.wait_for_generation(fleet.set_zone_state(zone, "in"))
    recovery_s = await _measure_recovery_s(fleet)
    after = await fleet.fetch_statuses()
    return {
        "out_in_force_s": round(out_s, 3),
        "back_in_force_s": round(back_s, 3),
        "last_packet_after_s": round(last_packet_s, 3),
        "connections_even_after_s": recovery_s,
        "platform_calls": fleet.platform.calls.total() - calls_before,
        "control_bytes_per_s": compute_control_rates(
            before, after, time.time() - started
        ),
    }


async def rolling_balancers(fleet: ProcessFleet) -> dict:
    """Restart the balancers one by one, each out of rotation meanwhile."""
    count = fleet.plan.balancers
    for index in range(count):
        fleet.set_rotation([other for other in range(count) if other != index])
        await fleet.stop(f"balancer-{index}")
        await fleet.start_balancer(index)
        fleet.set_rotation(list(range(count)))
        await asyncio.sleep(STEP_INTERVAL_S)
    return {}


async def balancer_crash(fleet: ProcessFleet) -> dict:
    """Kill a balancer that the fabric removes from rotation a second later."""
    count = fleet.plan.balancers
    await fleet.kill("balancer-0")
    await asyncio.sleep(STEP_INTERVAL_S)
    fleet.set_rotation(list(range(1, count)))
    await asyncio.sleep(SETTLE_S)
    await fleet.start_balancer(0)
    fleet.set_rotation(list(range(count)))
    return {}


async def rolling_upstreams(fleet: ProcessFleet) -> dict:
    """Drain and replace three upstreams with their agents."""
    service = fleet.plan.services[0]
    for index in range(3):
        name = f"{service.name}-{index}"
        upstream = fleet.upstreams[name]
        upstream.start_draining()
        await fleet.stop(name)
        await fleet.kill_upstream(name)
        upstream.is_draining = False
        await fleet.start_upstream(service, index)
        await fleet.start_agent(service, index)
        await asyncio.sleep(STEP_INTERVAL_S)
    work_after_drain = sum(item.work_after_drain for item in fleet.upstreams.values())
    return {"work_3s_after_drain": work_after_drain}


async def unannounced_cold_start(fleet: ProcessFleet) -> dict:
    """Return two upstreams to cold start without announcing it."""
    service = fleet.plan.services[0].name
    before = {name: item.overruns for name, item in fleet.upstreams.items()}
    for index in range(2):
        fleet.upstreams[f"{service}-{index}"].reset_to_cold()
    await asyncio.sleep(PHASE_S)
    overruns = sum(
        item.overruns - before[name] for name, item in fleet.upstreams.items()
    )
    return {"overruns": overruns}


async def silent_flows(fleet: ProcessFleet) -> dict:
    """Drop all packets on a share of the existing paths; new paths work."""
    silenced_count = 0
    for fabric in fleet.fabrics.values():
        callers = sorted(fabric.sockets)
        silenced_callers = fleet.rng.sample(
            callers, int(len(callers) * SILENCED_PATH_SHARE)
        )
        fabric.silenced.update(silenced_callers)
        silenced_count += len(silenced_callers)
    await asyncio.sleep(PHASE_S)
    return {"silenced_paths": silenced_count}


async def paused_processes(fleet: ProcessFleet) -> dict:
    """Pause and continue a balancer, then an agent."""
    service = fleet.plan.services[0].name
    for name in ("balancer-1", f"{service}-2"):
        fleet.set_paused(name, True)
        await asyncio.sleep(PROCESS_PAUSE_S)
        fleet.set_paused(name, False)
        await asyncio.sleep(SETTLE_S)
    return {}


async def stale_platform(fleet: ProcessFleet) -> dict:
    """Take a zone out while half of the platform reads reach a stale replica."""
    zone = fleet.plan.zones[2]
    fleet.platform.stale_configuration = fleet.platform.published
    generation = fleet.set_zone_state(zone, "out")
    fleet.platform.stale_share = 0.5
    in_force_s = await fleet.wait_for_generation(generation)
    fleet.platform.stale_configuration = None
    fleet.platform.stale_share = 1.0
    await asyncio.sleep(STEP_INTERVAL_S)
    await fleet.wait_for_generation(fleet.set_zone_state(zone, "in"))
    return {"in_force_s": round(in_force_s, 3)}


async def reader_crash(fleet: ProcessFleet) -> dict:
    """Kill a balancer that reads the platform, then change the configuration."""
    calls_before = fleet.platform.calls.total()
    count = fleet.plan.balancers
    fleet.set_rotation(list(range(1, count)))
    await fleet.kill("balancer-0")
    in_force_s = await fleet.wait_for_generation(fleet.publish())
    await fleet.start_balancer(0)
    fleet.set_rotation(list(range(count)))
    return {
        "in_force_s": round(in_force_s, 3),
        "platform_calls": fleet.platform.calls.total() - calls_before,
    }


SCENARIOS = {
    "steady": steady,
    "zone": zone_out_and_in,
    "rolling-balancers": rolling_balancers,
    "balancer-death": balancer_crash,
    "rolling-upstreams": rolling_upstreams,
    "cold-by-surprise": unannounced_cold_start,
    "silent-flows": silent_flows,
    "frozen-processes": paused_processes,
    "stale-platform": stale_platform,
    "readers-killed": reader_crash,
}


def compute_control_rates(
    before: dict, after: dict, duration_s: float
) -> dict[str, float]:
    """Return the highest rate of any process in bytes/s, by control counter."""
    highest: dict[str, float] = {}
    for name in before.keys() & after.keys():
        for counter, total in after[name]["counters"].items():
            if not counter.startswith("bytes.") or counter == "bytes.data":
                continue
            increase = total - before[name]["counters"].get(counter, 0)
            rate = round(increase / duration_s, 1)
            highest[counter] = max(highest.get(counter, 0.0), rate)
    return highest


async def _measure_last_packet_s(
    fleet: ProcessFleet, zone: str, started: float
) -> float:
    """Return the time from ``started`` to the last envelope at an agent of a zone.

    The unit is seconds; the result is 0 if no envelope arrived after ``started``.
    """
    last_s = 0.0
    for name, status in (await fleet.fetch_statuses()).items():
        if status["zone"] == zone and not name.startswith("balancer"):
            last_s = max(last_s, time.time() - status["received_s_ago"] - started)
    return last_s


async def _measure_recovery_s(fleet: ProcessFleet) -> float | None:
    """Wait until the agents of the first service have similar connection counts.

    Returns
    -------
    float or None
        Seconds until no agent has more than 1.25 times the mean; None after
        ``RECOVERY_TIMEOUT_S``.
    """
    started = time.time()
    service = fleet.plan.services[0].name
    while time.time() - started < RECOVERY_TIMEOUT_S:
        counts = [
            status["connections"]
            for name, status in (await fleet.fetch_statuses()).items()
            if name.rpartition("-")[0] == service
        ]
        if max(counts) <= 1.25 * sum(counts) / len(counts):
            return round(time.time() - started, 2)
        await asyncio.sleep(0.25)
    return None
