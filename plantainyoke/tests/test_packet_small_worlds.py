"""Every series of three steps in a small world."""

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
    ("drain", 10),
    ("split", (0, 1)),
    ("spray", True),
    ("cut", (100, 10)),
)


def _signature(simulation: PacketSimulation) -> tuple:
    """Return what the processes and targets know, without times."""
    known = []
    for host, process in sorted(simulation.processes.items()):
        packet_handler = process.packet_handler
        if host in simulation.targets:
            known.append(
                (host, process.is_alive, frozenset(packet_handler.flow_table.flows))
            )
        else:
            holders = {
                flow: one.holder for flow, one in packet_handler.flow_cache.items()
            }
            known.append((host, process.is_alive, frozenset(holders.items())))
    held = [frozenset(target.flows) for target in simulation.targets.values()]
    return tuple(known), tuple(held), simulation.published.revision


def _play(series, states: set) -> None:
    simulation = PacketSimulation(
        {"orders": 2, "drawings": 1}, balancers=2, zones=("a", "b")
    )
    run = FaultRun(simulation, flows_per_step=1)
    for name, argument in series:
        run.apply(name, argument)
        run.check_services()
        run.check_resets()
        states.add(_signature(simulation))
    run.calm()
    run.check_resets()
    run.check_found()


@pytest.mark.parametrize("first", STEPS, ids=lambda step: step[0])
def test_every_series_keeps_the_flows(first, record_property):
    states: set = set()
    count = 0
    for rest in itertools.product(STEPS, repeat=DEPTH - 1):
        _play((first, *rest), states)
        count += 1
    record_property("series", count)
    record_property("states", len(states))
    assert count == len(STEPS) ** (DEPTH - 1)
