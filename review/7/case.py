"""A target drains while three agents of its zone are cut off from the store."""

import asyncio
from pathlib import Path

from plantainyoke.hashing import compute_zone_id, rank_by_rendezvous
from review.rig2.deployment import BOUNDS, Deployment, run

ZONE = "loft"
MACHINES = [
    ("balancer", ZONE, ""),
    *[("agent", ZONE, "order-desk")] * 4,
    ("balancer", "wharf-shed", ""),
    *[("agent", "wharf-shed", "order-desk")] * 3,
]
CUT_S = 5.5
FLOWS_PER_S = 100
DRAIN_S = BOUNDS["drainMs"] / 1000


async def keep_opening(callers, seconds: float) -> None:
    """Open flows at a constant rate."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    while loop.time() < until:
        callers.open()
        await asyncio.sleep(1 / FLOWS_PER_S)


def rank_agents(agents) -> list:
    """Return the zone's agents in the order in which the project lets them read."""
    by_host = {bytes(map(int, agent.ip.split("."))): agent for agent in agents}
    key = compute_zone_id(ZONE).to_bytes(4, "big")
    return [by_host[host] for host in rank_by_rendezvous(key, list(by_host))]


async def case(trouble: bool) -> bool:
    """Return whether DRAIN held."""
    record = Path(__file__).with_name("record.txt")
    async with Deployment(record, MACHINES) as site:
        front = site.machines[f"frontend-{ZONE}-1"]
        agents = [
            machine
            for machine in site.machines.values()
            if machine.role == "agent" and machine.zone == ZONE
        ]
        *cut, leaving = rank_agents(agents)
        callers = site.open_callers([front])
        opening = asyncio.create_task(keep_opening(callers, 14.0))
        await asyncio.sleep(6.0)  # longer than stableWindowMs
        watching = asyncio.Event()
        site.store.on_watch = lambda name: name == cut[0].name and watching.set()
        async with asyncio.timeout(5.0):
            await watching.wait()
        if trouble:
            site.store.silenced |= {machine.name for machine in cut}
            names = ", ".join(machine.name for machine in cut)
            site.record(f"cut off from the store: {names}")
        await asyncio.sleep(0.05)
        site.put_target(leaving, state="draining")
        acknowledged_at = site.now
        await asyncio.sleep(CUT_S)
        site.store.silenced.clear()
        site.record("the cut ends")
        await opening
        await asyncio.sleep(1.0)
        return judge(site, callers, leaving, acknowledged_at)


def judge(site, callers, leaving, acknowledged_at: float) -> bool:
    """Write what was seen; return whether no flow reached the target too late."""
    sent_at = {port: one.sent_at for port, one in callers.attempts.items()}
    run_ports = {caller[1] for _, caller, _ in leaving.target.runs}
    late = []
    for at, caller in leaving.target.taken:
        after_s = at - acknowledged_at
        if after_s > 0:
            port = caller[1]
            site.record(
                f"flow {port}: first packet sent {sent_at[port] - acknowledged_at:+.3f}"
                f" s, taken by the draining target {after_s:+.3f} s after the"
                f" acknowledgement, request run: {port in run_ports},"
                f" {callers.attempts[port].outcome}"
            )
            if after_s > DRAIN_S:
                late.append(after_s)
    outcomes: dict[str, int] = {}
    for one in callers.attempts.values():
        outcomes[one.outcome] = outcomes.get(one.outcome, 0) + 1
    site.record(f"attempts: {outcomes}")
    site.record(f"flows taken later than drainMs = {DRAIN_S} s: {len(late)}")
    if late:
        print(f"DRAIN broken: {len(late)} flows, the last {max(late):.3f} s after")
    return not late


if __name__ == "__main__":
    raise SystemExit(run(case))
