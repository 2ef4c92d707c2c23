"""Load that exceeds what the targets can serve in time, in virtual time."""

import random

import pytest

from plantainyoke.standins import PacketSimulation

AIM_S = 0.2
SERVICE_TIME_S = 0.04  # of the simulation's targets
CALLER_TIMEOUT_S = 1.4  # a caller gives up opening a flow
TRIES = 3
RETURN_DELAY_S = 0.01  # callers come back this soon after a reset


class Request:
    """One request of a caller that opens a flow for it, and another after a reset."""

    def __init__(self, simulation: PacketSimulation) -> None:
        self.simulation = simulation
        self.started_at = simulation.now
        self.tries = 0
        self.answered_at: float | None = None
        self._try()

    def _try(self) -> None:
        self.tries += 1
        self.caller = self.simulation.open_flow()
        self._follow(self.caller, self.simulation.now)

    def _follow(self, caller, opened_at) -> None:
        """Send the request when the flow is open; try again after a reset."""
        now = self.simulation.now
        is_lost = caller.reset_at is not None or (
            not caller.is_open and now - opened_at > CALLER_TIMEOUT_S
        )
        if is_lost:
            if self.tries < TRIES:
                self.simulation.call_later(RETURN_DELAY_S, self._try)
            return
        if caller.is_open and not caller.last_requested:
            caller.send_request()
        if caller.last_requested and caller.last_answered == caller.last_requested:
            self.answered_at = now
            return
        self.simulation.call_later(0.002, lambda: self._follow(caller, opened_at))


def _warm_up(simulation):
    """Let every agent measure the work time of its target."""
    requests = []
    for _ in range(6 * len(simulation.targets)):
        requests.append(Request(simulation))
        simulation.advance(SERVICE_TIME_S)
    simulation.advance(1.0)
    assert all(request.answered_at for request in requests)


def _count_in_time(requests):
    return sum(
        request.answered_at is not None
        and request.answered_at - request.started_at <= AIM_S + 0.005
        for request in requests
    )


class TestAllCallersAtOnce:
    """After an outage all callers open flows within a fraction of a second."""

    @pytest.mark.parametrize("seed", range(3))
    def test_every_request_that_can_be_served_is_served(self, seed):
        simulation = PacketSimulation({"orders": 6}, slots=1, aim_s=AIM_S, seed=seed)
        _warm_up(simulation)
        rng = random.Random(seed)
        requests = []
        # 0.8 s of work for all targets, within 0.2 s.
        for _ in range(120):
            requests.append(Request(simulation))
            simulation.advance(rng.expovariate(600))
        simulation.advance(3.0)
        assert [request for request in requests if not request.answered_at] == []

    def test_requests_after_the_burst_are_answered_in_time(self):
        """Flows that are late already do not delay those that are in time."""
        later = []
        for seed in range(8):
            simulation = PacketSimulation(
                {"orders": 6}, slots=1, aim_s=AIM_S, seed=seed
            )
            _warm_up(simulation)
            for _ in range(120):
                Request(simulation)
            simulation.advance(AIM_S)
            for _ in range(30):  # half of what the targets can serve
                later.append(Request(simulation))
                simulation.advance(2 * SERVICE_TIME_S / 6)
            simulation.advance(3.0)
        assert _count_in_time(later) >= 0.9 * len(later)

    def test_request_without_a_chance_is_refused_at_once(self):
        simulation = PacketSimulation({"orders": 2}, slots=1, aim_s=AIM_S)
        _warm_up(simulation)
        requests = [Request(simulation) for _ in range(400)]  # 8 s of work
        simulation.advance(0.1)
        assert sum(request.caller.reset_at is not None for request in requests) > 200
