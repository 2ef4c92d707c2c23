"""Faults from outside of the processes; each ends what it began."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from plantainyoke.network import parse_host
from soak._site import SoakSite

DRAIN_S = 3.0  # a target serves on for so long after it is published as draining
REUSE_S = 2.0  # an address rests for so long before another service gets it
LAPSE_S = 1.5  # entries that lapsed with the store are back within two seconds
CRASH_NOTICE_S = 0.4  # a target that starts again writes its entry within a heartbeat

Fault = Callable[[SoakSite], Awaitable[None]]


def _length(site: SoakSite, most_s: float = 3.0) -> float:
    return site.random.uniform(0.2, most_s)


def _some(site: SoakSite, names: list[str]) -> list[str]:
    most = max(1, len(names) // 2)
    return site.random.sample(names, site.random.randint(1, most))


async def kill_some(site: SoakSite) -> None:
    """Kill processes."""
    for name in _some(site, site.names()):
        site.send_signal(name, signal.SIGKILL)


async def kill_all(site: SoakSite) -> None:
    """Kill every process at once; the targets live on."""
    for name in site.names():
        site.send_signal(name, signal.SIGKILL)


async def kill_role(site: SoakSite) -> None:
    """Kill all balancers or all agents."""
    for name in site.names(site.random.choice(["balancer", "agent"])):
        site.send_signal(name, signal.SIGKILL)


async def keep_down(site: SoakSite) -> None:
    """Let processes be away for a while."""
    names = _some(site, site.names())
    site.held.update(names)
    for name in names:
        site.send_signal(name, signal.SIGKILL)
    await asyncio.sleep(_length(site))
    site.held.subtract(names)


async def stop_some(site: SoakSite) -> None:
    """Stop processes as planned, one after the other."""
    for name in _some(site, site.names()):
        await site.stop_process(name)
        await asyncio.sleep(_length(site, 0.5))


async def pause_some(site: SoakSite) -> None:
    """Freeze processes for a while."""
    names = _some(site, site.names())
    for name in names:
        site.send_signal(name, signal.SIGSTOP)
    await asyncio.sleep(_length(site))
    for name in names:
        site.send_signal(name, signal.SIGCONT)


async def reload_all(site: SoakSite) -> None:
    """Tell processes that their settings changed, several times."""
    for _ in range(3):
        for name in _some(site, site.names()):
            site.send_signal(name, signal.SIGHUP)
        await asyncio.sleep(_length(site, 0.5))


async def cut_one_way(site: SoakSite) -> None:
    """Lose all that some processes send to some others."""
    sources, others = _some(site, site.names()), _some(site, site.names())
    await _cut(site, [(a, b) for a in sources for b in others])


async def cut_zone(site: SoakSite) -> None:
    """Separate a zone from all others, but not from the store."""
    zone = site.random.choice(site.plan.zones)
    inside = [name for name, one in site.hosts.items() if one.zone == zone]
    outside = [name for name in site.names() if name not in inside]
    pairs = [(a, b) for a in inside for b in outside]
    await _cut(site, pairs + [(b, a) for a, b in pairs])


async def cut_from_store(site: SoakSite) -> None:
    """Separate some processes from the store, in one direction or both."""
    names = _some(site, site.names())
    ways = site.random.choice([("there",), ("back",), ("there", "back")])
    pairs = []
    for name in names:
        pairs += [(name, "store")] if "there" in ways else []
        pairs += [("store", name)] if "back" in ways else []
    await _cut(site, pairs)


async def _cut(site: SoakSite, pairs: list[tuple[str, str]]) -> None:
    directions = [site.network.direction(*pair) for pair in pairs]
    for direction in directions:
        direction.is_cut = True
    await asyncio.sleep(_length(site))
    for direction in directions:
        direction.is_cut = False


async def delay(site: SoakSite) -> None:
    """Delay all that some processes send; datagrams overtake each other."""
    names = _some(site, site.names())
    directions = [
        site.network.direction(name, other)
        for name in names
        for other in [*site.names(), "store"]
    ]
    delay_s = site.random.uniform(0.005, 0.08)
    for direction in directions:
        direction.delay_s = delay_s
    await asyncio.sleep(_length(site))
    for direction in directions:
        direction.delay_s = 0.0


async def lose_datagrams(site: SoakSite) -> None:
    """Lose some of the datagrams between processes."""
    names = site.names()
    directions = [site.network.direction(a, b) for a in names for b in names]
    share = site.random.choice([0.02, 0.1, 0.3])
    for direction in directions:
        direction.loss = share
    await asyncio.sleep(_length(site))
    for direction in directions:
        direction.loss = 0.0


async def reset_connections(site: SoakSite) -> None:
    """Reset connections between processes and to the store."""
    site.network.reset_connections(site.random.choice([0.3, 1.0]))


async def silence_connections(site: SoakSite) -> None:
    """Let open connections go silent for good."""
    site.network.silence_connections(site.random.choice([0.3, 1.0]))


async def refuse_at_store(site: SoakSite) -> None:
    """Let the store answer 503 to everybody."""
    site.store.mode = "busy"
    await asyncio.sleep(_length(site))
    site.store.mode = "up"


async def lapse_entries(site: SoakSite) -> None:
    """Let the store be away; the entries of targets lapse and come back."""
    site.store.mode = "silent"
    site.network.reset_connections(0.3)
    await asyncio.sleep(_length(site))
    for name in site.names("agent"):
        site.store.delete(f"servers/{site.hosts[name].entry}")
    site.store.mode = "up"
    await asyncio.sleep(site.random.uniform(0.1, LAPSE_S))
    for name in site.names("agent"):
        if name not in site.leaving:
            state = "draining" if name in site.witness.draining else "ready"
            site.publish_target(name, state=state)


async def discard_history(site: SoakSite) -> None:
    """Let the store forget its changes."""
    for _ in range(3):
        site.store.discard_history()
        await asyncio.sleep(_length(site, 0.5))


async def write_nonsense(site: SoakSite) -> None:
    """Let another writer put entries that mean nothing."""
    for number in range(3):
        content = site.random.choice(
            [b"\xff\x00", b"{}", b"[1]", b'{"service": 7, "state": "ready"}', b""]
        )
        site.store.put_bytes(f"servers/other-{number}", content)


async def hurt_callers(site: SoakSite) -> None:
    """Lose and double packets between callers and balancers."""
    site.caller_loss, site.caller_copies = 0.05, 0.2
    await asyncio.sleep(_length(site))
    site.caller_loss = site.caller_copies = 0.0


async def crash_targets(site: SoakSite) -> None:
    """Let targets crash and start again, some with a wrong clock."""
    for name in _some(site, site.names("agent")):
        if name in site.leaving:
            continue
        skew_s = site.random.choice([0.0, 0.0, -5.0, 5.0])
        site.targets[parse_host(site.hosts[name].ip)].crash()
        await asyncio.sleep(site.random.uniform(0, CRASH_NOTICE_S))
        if name not in site.leaving:
            site.restart_target(name, clock_skew_s=skew_s)


async def freeze_target(site: SoakSite) -> None:
    """Let a target stand still; it keeps its flows."""
    name = site.random.choice(site.names("agent"))
    target = site.targets[parse_host(site.hosts[name].ip)]
    if name in site.leaving or not target.is_alive:
        return
    target.is_alive = False
    await asyncio.sleep(_length(site, 1.5))
    target.is_alive = True


async def refuse_at_target(site: SoakSite) -> None:
    """Let a target refuse new flows for a while."""
    name = site.random.choice(site.names("agent"))
    target = site.targets[parse_host(site.hosts[name].ip)]
    target.is_accepting = False
    await asyncio.sleep(_length(site))
    target.is_accepting = True


# Planned work: no harm by itself, but it meets the faults.


async def change_split(site: SoakSite) -> None:
    """Publish another split of the route."""
    weights = site.random.choice([(1, 0), (0, 1), (1, 1), (9, 1)])
    shares = dict(zip(site.plan.services, weights, strict=True))
    site.publish_shares(**{name: w for name, w in shares.items() if w})


async def take_zone_out(site: SoakSite) -> None:
    """Take a zone out, and back after a while."""
    zone = site.random.choice(site.plan.zones)
    if site.witness.zones_out:
        return
    site.take_zone_out(zone)
    await asyncio.sleep(_length(site, 8.0))
    site.return_zone(zone)


async def replace_target(site: SoakSite) -> None:
    """Drain a target and end it; another service gets its address."""
    name = site.random.choice(site.names("agent"))
    loopback_host = site.hosts[name]
    alone = sum(one.service == loopback_host.service for one in site.hosts.values()) < 3
    if alone or name in site.leaving:
        return
    site.leaving.add(name)
    site.publish_target(name, state="draining")
    await asyncio.sleep(DRAIN_S + _length(site, 1.0))
    site.targets[parse_host(loopback_host.ip)].crash()
    site.store.delete(f"servers/{loopback_host.entry}")
    site.held[name] += 1
    await site.stop_process(name)
    await asyncio.sleep(REUSE_S)
    loopback_host.service = next(
        one for one in site.plan.services if one != loopback_host.service
    )
    loopback_host.entry = f"t-{name}-{next(site.entry_numbers)}"
    site.create_target(loopback_host)
    site.held[name] -= 1
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
    cut_from_store,
    delay,
    lose_datagrams,
    reset_connections,
    silence_connections,
    refuse_at_store,
    lapse_entries,
    discard_history,
    write_nonsense,
    hurt_callers,
    crash_targets,
    freeze_target,
    refuse_at_target,
)
PLANNED_WORK: tuple[Fault, ...] = (change_split, take_zone_out, replace_target)
