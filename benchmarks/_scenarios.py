"""What happens to the fleet while callers send requests."""

import asyncio
import time

from benchmarks._process_fleet import ProcessFleet

PHASE_S = 6.0
SETTLE_S = 3.0
ZONE_QUIET_S = 4.0
ROLL_PAUSE_S = 1.0
MAX_RECOVERY_S = 20.0
SILENT_SHARE = 0.3
FROZEN_S = 4.0


async def steady(fleet: ProcessFleet) -> dict:
    """Let the fleet work undisturbed."""
    before = await fleet.statuses()
    started = time.time()
    await asyncio.sleep(PHASE_S)
    after = await fleet.statuses()
    return {"control_bytes_per_s": control_rates(before, after, time.time() - started)}


async def zone_out_and_back(fleet: ProcessFleet) -> dict:
    """Take one availability zone out and bring it back."""
    zone = fleet.plan.zones[1]
    calls_before = fleet.platform.calls.total()
    before = await fleet.statuses()
    started = time.time()
    out_s = await fleet.wait_for_generation(fleet.set_zone_state(zone, "out"))
    await asyncio.sleep(max(0.0, ZONE_QUIET_S - out_s))
    last_packet_s = await _last_packet(fleet, zone, started)
    await asyncio.sleep(SETTLE_S)
    back_s = await fleet.wait_for_generation(fleet.set_zone_state(zone, "in"))
    recovery_s = await _recovery(fleet)
    after = await fleet.statuses()
    return {
        "out_in_force_s": round(out_s, 3),
        "back_in_force_s": round(back_s, 3),
        "last_packet_after_s": round(last_packet_s, 3),
        "connections_even_after_s": recovery_s,
        "platform_calls": fleet.platform.calls.total() - calls_before,
        "control_bytes_per_s": control_rates(before, after, time.time() - started),
    }


async def rolling_balancers(fleet: ProcessFleet) -> dict:
    """Replace every balancer, one by one."""
    count = fleet.plan.balancers
    for index in range(count):
        fleet.set_rotation([other for other in range(count) if other != index])
        await fleet.stop(f"balancer-{index}")
        await fleet.start_balancer(index)
        fleet.set_rotation(list(range(count)))
        await asyncio.sleep(ROLL_PAUSE_S)
    return {}


async def balancer_death(fleet: ProcessFleet) -> dict:
    """Kill a balancer; the fabric notices only after a second."""
    count = fleet.plan.balancers
    await fleet.kill("balancer-0")
    await asyncio.sleep(ROLL_PAUSE_S)
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
        await asyncio.sleep(ROLL_PAUSE_S)
    late = sum(item.work_after_drain for item in fleet.upstreams.values())
    return {"work_3s_after_drain": late}


async def cold_by_surprise(fleet: ProcessFleet) -> dict:
    """Turn two upstreams cold without a warning."""
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
    """Lose every packet of some callers' paths; new paths work."""
    silenced = 0
    for fabric in fleet.fabrics.values():
        callers = sorted(fabric.sockets)
        chosen = fleet.rng.sample(callers, int(len(callers) * SILENT_SHARE))
        fabric.silenced.update(chosen)
        silenced += len(chosen)
    await asyncio.sleep(PHASE_S)
    return {"silenced_paths": silenced}


async def frozen_processes(fleet: ProcessFleet) -> dict:
    """Pause a balancer and an agent, one after the other, and let them go on."""
    service = fleet.plan.services[0].name
    for name in ("balancer-1", f"{service}-2"):
        fleet.freeze(name, True)
        await asyncio.sleep(FROZEN_S)
        fleet.freeze(name, False)
        await asyncio.sleep(SETTLE_S)
    return {}


async def stale_platform(fleet: ProcessFleet) -> dict:
    """Take a zone out while half of the balancers read a stale replica."""
    zone = fleet.plan.zones[2]
    fleet.platform.stale_configuration = fleet.platform.published
    generation = fleet.set_zone_state(zone, "out")
    fleet.platform.stale_share = 0.5
    in_force_s = await fleet.wait_for_generation(generation)
    fleet.platform.stale_configuration = None
    fleet.platform.stale_share = 1.0
    await asyncio.sleep(ROLL_PAUSE_S)
    await fleet.wait_for_generation(fleet.set_zone_state(zone, "in"))
    return {"in_force_s": round(in_force_s, 3)}


async def readers_killed(fleet: ProcessFleet) -> dict:
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
    "zone": zone_out_and_back,
    "rolling-balancers": rolling_balancers,
    "balancer-death": balancer_death,
    "rolling-upstreams": rolling_upstreams,
    "cold-by-surprise": cold_by_surprise,
    "silent-flows": silent_flows,
    "frozen-processes": frozen_processes,
    "stale-platform": stale_platform,
    "readers-killed": readers_killed,
}


def control_rates(before: dict, after: dict, seconds: float) -> dict[str, float]:
    """Return the busiest process's control bytes a second, by kind."""
    worst: dict[str, float] = {}
    for name in before.keys() & after.keys():
        for counter, total in after[name]["counters"].items():
            if not counter.startswith("bytes.") or counter == "bytes.data":
                continue
            change = total - before[name]["counters"].get(counter, 0)
            rate = round(change / seconds, 1)
            worst[counter] = max(worst.get(counter, 0.0), rate)
    return worst


async def _last_packet(fleet: ProcessFleet, zone: str, started: float) -> float:
    """Return when the last envelope reached an agent of a zone."""
    last = 0.0
    for name, status in (await fleet.statuses()).items():
        if status["zone"] == zone and not name.startswith("balancer"):
            last = max(last, time.time() - status["received_s_ago"] - started)
    return last


async def _recovery(fleet: ProcessFleet) -> float | None:
    """Return the seconds until connections are even within 1.25."""
    started = time.time()
    service = fleet.plan.services[0].name
    while time.time() - started < MAX_RECOVERY_S:
        counts = [
            status["connections"]
            for name, status in (await fleet.statuses()).items()
            if name.rpartition("-")[0] == service
        ]
        if max(counts) <= 1.25 * sum(counts) / len(counts):
            return round(time.time() - started, 2)
        await asyncio.sleep(0.25)
    return None
