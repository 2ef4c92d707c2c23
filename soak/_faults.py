"""Faults and planned operations that the soak applies to a site.

A fault is a coroutine that draws its scope and duration from the site's random
generator. A fault that lasts for a while ends before its coroutine returns; the site
restarts the processes that a fault ended.
"""

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable

from plantainyoke.network import parse_host
from plantainyoke.standins import SERVICE_TIME_S
from soak._site import SoakSite

DRAIN_DURATION_S = 3.0  # a target keeps serving this long once published as draining
ADDRESS_REUSE_DELAY_S = 2.0  # before another service uses the address
MAX_ENTRY_LAPSE_S = 1.5  # entries lost in a store outage are rewritten within 2 s
MAX_COPY_AGE_S = 6.0  # spans several publications of a series
MAX_TARGET_RESTART_S = 0.4  # a restarted target writes its entry within a heartbeat
RESET_SHARES = (0.1, 0.46, 1.0)  # below detection, as measured on a bad day, total
WORK_FACTORS = (2.0, 4.0)  # fast to slow targets differ 2.2 times (hard-load.md)

UNREADABLE_ENTRIES = (
    b"\xff\x00",
    b"{}",
    b"[1]",
    b'{"service": 7, "state": "ready"}',
    b"",
)
ODD_FIELD_SHARE = 0.75  # of the odd entries; the others cannot be read at all
# Changes that make an entry one of another program; None leaves the field out.
ODD_FIELDS = (
    ("slots", 2**127),
    ("slots", 0),
    ("slots", None),
    ("version", None),
    ("sequence", None),
    ("coldLeftMs", 10**400),
    ("service", "exporter"),
    ("state", "gone"),
    ("address", "10.1.0.40:65536"),
    ("zone", "z" * 10_000),
)

Fault = Callable[[SoakSite], Awaitable[None]]


def _draw_duration_s(site: SoakSite, max_s: float = 3.0) -> float:
    """Return a random duration of 0.2 s to ``max_s``."""
    return site.rng.uniform(0.2, max_s)


def _sample(site: SoakSite, names: list[str]) -> list[str]:
    """Return a random sample of one to half of the names."""
    max_count = max(1, len(names) // 2)
    return site.rng.sample(names, site.rng.randint(1, max_count))


async def kill_some(site: SoakSite) -> None:
    """Kill some processes."""
    for name in _sample(site, site.list_names()):
        site.send_signal(name, signal.SIGKILL)


async def kill_all(site: SoakSite) -> None:
    """Kill all processes at once; the targets keep running."""
    for name in site.list_names():
        site.send_signal(name, signal.SIGKILL)


async def kill_role(site: SoakSite) -> None:
    """Kill all balancers or all agents."""
    for name in site.list_names(site.rng.choice(["balancer", "agent"])):
        site.send_signal(name, signal.SIGKILL)


async def keep_down(site: SoakSite) -> None:
    """Kill some processes and prevent their restart for a while."""
    names = _sample(site, site.list_names())
    site.kept_down.update(names)
    for name in names:
        site.send_signal(name, signal.SIGKILL)
    await asyncio.sleep(_draw_duration_s(site))
    site.kept_down.subtract(names)


async def stop_some(site: SoakSite) -> None:
    """Stop some processes by SIGTERM, one after the other."""
    for name in _sample(site, site.list_names()):
        await site.stop_process(name)
        await asyncio.sleep(_draw_duration_s(site, 0.5))


async def pause_some(site: SoakSite) -> None:
    """Suspend some processes for a while."""
    names = _sample(site, site.list_names())
    for name in names:
        site.send_signal(name, signal.SIGSTOP)
    await asyncio.sleep(_draw_duration_s(site))
    for name in names:
        site.send_signal(name, signal.SIGCONT)


async def reload_all(site: SoakSite) -> None:
    """Send the signal to reload settings to some processes, three times."""
    for _ in range(3):
        for name in _sample(site, site.list_names()):
            site.send_signal(name, signal.SIGHUP)
        await asyncio.sleep(_draw_duration_s(site, 0.5))


async def cut_one_way(site: SoakSite) -> None:
    """Cut the traffic from some processes to some others, in this direction only."""
    sources, others = _sample(site, site.list_names()), _sample(site, site.list_names())
    await _cut_directions(site, [(a, b) for a in sources for b in others])


async def cut_zone(site: SoakSite) -> None:
    """Partition a zone from all others, but not from the store."""
    zone = site.rng.choice(site.plan.zones)
    inside = [name for name, host in site.hosts.items() if host.zone == zone]
    outside = [name for name in site.list_names() if name not in inside]
    pairs = [(a, b) for a in inside for b in outside]
    await _cut_directions(site, pairs + [(b, a) for a, b in pairs])


async def cut_two_zones(site: SoakSite) -> None:
    """Partition two zones from each other while a third one reaches both."""
    if len(site.plan.zones) < 3:
        return
    zones = site.rng.sample(site.plan.zones, 2)
    first, second = (
        [name for name, host in site.hosts.items() if host.zone == zone]
        for zone in zones
    )
    pairs = [(a, b) for a in first for b in second]
    await _cut_directions(site, pairs + [(b, a) for a, b in pairs])


async def cut_from_store(site: SoakSite) -> None:
    """Cut some processes from the store, in one direction or both."""
    names = _sample(site, site.list_names())
    cuts = site.rng.choice([("to store",), ("from store",), ("to store", "from store")])
    pairs = []
    for name in names:
        pairs += [(name, "store")] if "to store" in cuts else []
        pairs += [("store", name)] if "from store" in cuts else []
    await _cut_directions(site, pairs)


async def _cut_directions(site: SoakSite, pairs: list[tuple[str, str]]) -> None:
    directions = [site.network.get_direction(*pair) for pair in pairs]
    for direction in directions:
        direction.is_cut = True
    await asyncio.sleep(_draw_duration_s(site))
    for direction in directions:
        direction.is_cut = False


async def delay(site: SoakSite) -> None:
    """Delay all traffic from some processes, so that datagrams overtake each other."""
    names = _sample(site, site.list_names())
    directions = [
        site.network.get_direction(name, other)
        for name in names
        for other in [*site.list_names(), "store"]
    ]
    delay_s = site.rng.uniform(0.005, 0.08)
    for direction in directions:
        direction.delay_s = delay_s
    await asyncio.sleep(_draw_duration_s(site))
    for direction in directions:
        direction.delay_s = 0.0


async def lose_datagrams(site: SoakSite) -> None:
    """Drop a share of the datagrams between all processes."""
    names = site.list_names()
    directions = [site.network.get_direction(a, b) for a in names for b in names]
    loss = site.rng.choice([0.02, 0.1, 0.3])
    for direction in directions:
        direction.loss = loss
    await asyncio.sleep(_draw_duration_s(site))
    for direction in directions:
        direction.loss = 0.0


async def reset_connections(site: SoakSite) -> None:
    """Reset connections between processes and to the store, some or all."""
    site.network.reset_connections(site.rng.choice([0.3, 1.0]))


async def silence_connections(site: SoakSite) -> None:
    """Discard all further data of open connections, some or all."""
    site.network.silence_connections(site.rng.choice([0.3, 1.0]))


async def refuse_at_store(site: SoakSite) -> None:
    """Make the store answer every request with 503 for a while."""
    site.store.mode = "busy"
    await asyncio.sleep(_draw_duration_s(site))
    site.store.mode = "up"


async def lapse_entries(site: SoakSite) -> None:
    """Make the store unresponsive; target entries lapse and are rewritten later."""
    site.store.mode = "silent"
    site.network.reset_connections(0.3)
    await asyncio.sleep(_draw_duration_s(site))
    for name in site.list_names("agent"):
        site.store.delete(f"servers/{site.hosts[name].entry}")
    site.store.mode = "up"
    await asyncio.sleep(site.rng.uniform(0.1, MAX_ENTRY_LAPSE_S))
    for name in site.list_names("agent"):
        if name not in site.leaving:
            state = "draining" if name in site.checker.draining else "ready"
            site.publish_target(name, state=state)


async def restore_store(site: SoakSite) -> None:
    """Restore the store from a copy that is some seconds old; writers write again."""
    copy = site.store.take_copy()
    await asyncio.sleep(_draw_duration_s(site, MAX_COPY_AGE_S))
    site.store.mode = site.rng.choice(["up", "busy", "silent"])
    await asyncio.sleep(_draw_duration_s(site, 1.5))
    site.store.restore(copy)
    site.network.reset_connections(site.rng.choice([0.0, 1.0]))
    site.store.mode = "up"
    await asyncio.sleep(site.rng.uniform(0, MAX_ENTRY_LAPSE_S))
    site.store.write_again()


async def discard_history(site: SoakSite) -> None:
    """Make the store discard its history of changes, three times."""
    for _ in range(3):
        site.store.discard_history()
        await asyncio.sleep(_draw_duration_s(site, 0.5))


async def write_odd_entries(site: SoakSite) -> None:
    """Write target entries that name no target, as another program would.

    Each is an entry of a target with one change, or nothing that can be read.
    """
    entries = [
        content
        for key, content in site.store.written.items()
        if key.startswith("servers/t-")
    ]
    for number in range(3):
        content = site.rng.choice(UNREADABLE_ENTRIES)
        if entries and site.entry_rng.random() < ODD_FIELD_SHARE:
            document = json.loads(site.entry_rng.choice(entries))
            document["born"] += 1000  # it would count as a restart of the target
            name, value = site.entry_rng.choice(ODD_FIELDS)
            document[name] = value
            if value is None:
                del document[name]
            content = json.dumps(document).encode()
        site.store.put_bytes(f"servers/other-{number}", content)


async def hurt_callers(site: SoakSite) -> None:
    """Lose and duplicate packets from callers to balancers."""
    site.caller_loss, site.caller_duplication = 0.05, 0.2
    await asyncio.sleep(_draw_duration_s(site))
    site.caller_loss = site.caller_duplication = 0.0


async def crash_targets(site: SoakSite) -> None:
    """Crash some targets and restart them, some with a wrong clock."""
    for name in _sample(site, site.list_names("agent")):
        if name in site.leaving:
            continue
        skew_s = site.rng.choice([0.0, 0.0, -5.0, 5.0])
        site.targets[parse_host(site.hosts[name].ip)].crash()
        await asyncio.sleep(site.rng.uniform(0, MAX_TARGET_RESTART_S))
        if name not in site.leaving:
            site.restart_target(name, clock_skew_s=skew_s)


async def freeze_target(site: SoakSite) -> None:
    """Make a target ignore packets for a while; it keeps its flows."""
    name = site.rng.choice(site.list_names("agent"))
    target = site.targets[parse_host(site.hosts[name].ip)]
    if name in site.leaving or not target.is_alive:
        return
    target.is_alive = False
    await asyncio.sleep(_draw_duration_s(site, 1.5))
    target.is_alive = True


async def refuse_at_target(site: SoakSite) -> None:
    """Make a target refuse new flows for a while."""
    name = site.rng.choice(site.list_names("agent"))
    target = site.targets[parse_host(site.hosts[name].ip)]
    target.is_accepting = False
    await asyncio.sleep(_draw_duration_s(site))
    target.is_accepting = True


async def reset_at_target(site: SoakSite) -> None:
    """Make a target reset a share of its requests for a while; then it recovers."""
    name = site.rng.choice(site.list_names("agent"))
    target = site.targets[parse_host(site.hosts[name].ip)]
    target.reset_share = site.rng.choice(RESET_SHARES)
    await asyncio.sleep(_draw_duration_s(site))
    target.reset_share = 0.0
    site.recovered_targets.append((site.now, target))


async def lose_flows(site: SoakSite) -> None:
    """Make some targets lose their flows without a reset and without a new entry."""
    for name in _sample(site, site.list_names("agent")):
        site.targets[parse_host(site.hosts[name].ip)].lose_flows()
        await asyncio.sleep(_draw_duration_s(site, 0.5))


async def slow_targets(site: SoakSite) -> None:
    """Make some targets work slower for a while."""
    names = _sample(site, site.list_names("agent"))
    targets = [site.targets[parse_host(site.hosts[name].ip)] for name in names]
    factor = site.rng.choice(WORK_FACTORS)
    for target in targets:
        target.work_time_s = SERVICE_TIME_S * factor
    await asyncio.sleep(_draw_duration_s(site))
    for target in targets:
        target.work_time_s = SERVICE_TIME_S


# Planned operations: harmless alone, but they coincide with faults.


async def change_split(site: SoakSite) -> None:
    """Publish another traffic split of the route."""
    weights = site.rng.choice([(1, 0), (0, 1), (1, 1), (9, 1)])
    shares = dict(zip(site.plan.services, weights, strict=True))
    site.publish_shares(**{name: weight for name, weight in shares.items() if weight})


async def take_zone_out(site: SoakSite) -> None:
    """Take a zone out and return it after a while."""
    zone = site.rng.choice(site.plan.zones)
    if site.checker.zones_out:
        return
    site.take_zone_out(zone)
    await asyncio.sleep(_draw_duration_s(site, 8.0))
    site.return_zone(zone)


async def replace_target(site: SoakSite) -> None:
    """Drain and end a target, then start one of another service at its address.

    Does nothing if the service has fewer than three targets.
    """
    name = site.rng.choice(site.list_names("agent"))
    loopback_host = site.hosts[name]
    too_few_targets = (
        sum(one.service == loopback_host.service for one in site.hosts.values()) < 3
    )
    if too_few_targets or name in site.leaving:
        return
    site.leaving.add(name)
    site.publish_target(name, state="draining")
    await asyncio.sleep(DRAIN_DURATION_S + _draw_duration_s(site, 1.0))
    site.targets[parse_host(loopback_host.ip)].crash()
    site.store.delete(f"servers/{loopback_host.entry}")
    site.kept_down[name] += 1
    await site.stop_process(name)
    await asyncio.sleep(ADDRESS_REUSE_DELAY_S)
    loopback_host.service = next(
        one for one in site.plan.services if one != loopback_host.service
    )
    loopback_host.entry = f"t-{name}-{next(site.entry_numbers)}"
    site.create_target(loopback_host)
    site.kept_down[name] -= 1
    site.leaving.discard(name)
    site.restart_target(name)


FAULTS: tuple[Fault, ...] = (
    kill_some,
    kill_all,
    kill_role,
    keep_down,
    stop_some,
    pause_some,
    reload_all,
    cut_one_way,
    cut_zone,
    cut_two_zones,
    cut_from_store,
    delay,
    lose_datagrams,
    reset_connections,
    silence_connections,
    refuse_at_store,
    lapse_entries,
    restore_store,
    discard_history,
    write_odd_entries,
    hurt_callers,
    crash_targets,
    freeze_target,
    refuse_at_target,
    reset_at_target,
    lose_flows,
    slow_targets,
)
PLANNED_WORK: tuple[Fault, ...] = (change_split, take_zone_out, replace_target)
