"""Every series of three steps, in a simulation of two balancers and three targets."""

import itertools

import pytest

from plantainyoke.standins import PacketSimulation
from plantainyoke.tests._fault_run import FaultRun

DEPTH = 3
STEPS = (
    ("restart_balancers", {100}),
    ("restart_agents", {10}),
    ("restart_agents", {10, 11, 12}),
    ("restart_all", None),
    ("kill_agent", 11),
    ("restart_target", 10),
    ("toggle_draining", 10),
    ("publish_shares", (0, 1)),
    ("route_randomly", True),
    ("partition", (100, 10)),
)


def _summarize_state(simulation: PacketSimulation) -> tuple:
    """Return the flows that processes and targets hold, without times."""
    process_states = []
    for host, process in sorted(simulation.processes.items()):
        packet_handler = process.packet_handler
        if host in simulation.targets:
            process_states.append(
                (host, process.is_alive, frozenset(packet_handler.flow_table.flows))
            )
        else:
            holders = {
                flow: cached.holder
                for flow, cached in packet_handler.flow_cache.flows.items()
            }
            process_states.append((host, process.is_alive, frozenset(holders.items())))
    target_flows = [frozenset(target.flows) for target in simulation.targets.values()]
    return tuple(process_states), tuple(target_flows), simulation.published.revision


def _run_series(series, states: set) -> None:
    simulation = PacketSimulation(
        {"orders": 2, "drawings": 1}, balancers=2, zones=("a", "b")
    )
    run = FaultRun(simulation, flows_per_step=1)
    for name, argument in series:
        run.apply(name, argument)
        run.check_services()
        run.check_resets()
        states.add(_summarize_state(simulation))
    run.settle()
    run.check_resets()
    run.check_flows_recover()


@pytest.mark.parametrize("first", STEPS, ids=lambda step: step[0])
def test_flows_survive_every_short_series_of_faults(first, record_property):
    states: set = set()
    count = 0
    for rest in itertools.product(STEPS, repeat=DEPTH - 1):
        _run_series((first, *rest), states)
        count += 1
    record_property("series", count)
    record_property("states", len(states))
    assert count == len(STEPS) ** (DEPTH - 1)
