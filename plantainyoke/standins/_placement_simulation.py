"""Simulation of the placement of flows from stale load reports.

It models only what the quality of placement depends on: balancers with tables of
reported loads, agents that report in turn and pass first packets on, and targets that
serve requests in the order of arrival. It opens no socket and reads no clock.
"""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from plantainyoke.catalogue import Target
from plantainyoke.flows import Load
from plantainyoke.placement import AgentTable, WorkTimeEstimator

FIRST_HOST = 10
UNEVEN_SPEEDS = (0.55, 1.2, 1.2, 1.2)
LONG_REQUEST_SHARE, LONG_REQUEST_FACTOR = 0.03, 7.0
REPORT_INTERVAL_S = 0.25
REPORTS_PER_INTERVAL = 8
MESSAGE_S = 0.001  # one way between a balancer and an agent
OPENING_S = 0.015  # acceptance of a flow to the arrival of its first request
MAX_IN_FLIGHT = 2  # requests from which on an agent passes first packets on
MAX_PASSES = 2
QUEUE_LIMIT = 8  # requests that a target queues; it rejects further ones
SAMPLE_INTERVAL_S = 0.05

# Called with the targets, the key of the flow, the balancer's zone, its table and the
# time; returns the targets in the order of preference.
Choice = Callable[[Sequence[Target], bytes, str, AgentTable, float], list[Target]]


@dataclass(frozen=True)
class PlacementLoad:
    """Load and deployment of a simulation; times are in seconds.

    Attributes
    ----------
    load : float
        Offered work relative to the capacity of all targets.
    single_share : float
        Share of the requests that have a flow of their own; the others are on flows
        with `requests_per_flow` requests, `gap_s` apart.
    has_long_requests : bool
        Whether three in a hundred requests take seven times as long.
    """

    load: float
    targets: int = 40
    balancers: int = 20
    speeds: tuple[float, ...] = UNEVEN_SPEEDS
    zones: str = "a"
    service_s: float = 0.02
    aim_s: float = 0.25
    single_share: float = 0.3
    requests_per_flow: int = 8
    gap_s: float = 0.5
    has_long_requests: bool = True
    warm_up_s: float = 6.0
    duration_s: float = 12.0
    seed: int = 1


@dataclass(frozen=True)
class PlacementResult:
    """Measured quality of placement.

    Attributes
    ----------
    late_share : float
        Share of the requests that were answered after the aim, or rejected.
    busiest_to_mean : float
        Busy time of the busiest target relative to the mean.
    overloaded_share : float
        Share of the samples in which a target had more than twice its slots in use
        while another was idle.
    mean_s : float
        Mean time to the answer.
    other_zone_share : float
        Share of the flows placed in another zone than the balancer's.
    """

    late_share: float
    busiest_to_mean: float
    overloaded_share: float
    mean_s: float
    other_zone_share: float


@dataclass
class _SimulatedTarget:
    entry: Target
    speed: float
    work_time: WorkTimeEstimator = field(default_factory=WorkTimeEstimator)
    queue: deque = field(default_factory=deque)
    waiting: deque = field(default_factory=deque)
    flows: int = 0
    opening: int = 0
    busy_s: float = 0.0
    next_balancer: int = 0


class PlacementSimulation:
    """Places flows of a load with a choice and measures the result.

    Parameters
    ----------
    load : PlacementLoad
    choose : callable or None
        None for a central queue, from which idle targets take the oldest request.
    create_table : callable, optional
        Creates the table of a balancer.
    """

    def __init__(
        self,
        load: PlacementLoad,
        choose: Choice | None,
        create_table: Callable[[], AgentTable] = AgentTable,
    ) -> None:
        self.load = load
        self.choose = choose
        self.random = random.Random(load.seed)
        self.now = 0.0
        self.long_share = LONG_REQUEST_SHARE if load.has_long_requests else 0.0
        self.events: list = []
        self.sequence = itertools.count()
        self.flow_numbers = itertools.count()
        zones = load.zones
        self.targets = [
            _SimulatedTarget(
                Target(f"t{n}", "s", FIRST_HOST + n, 1, zones[n % len(zones)], 1),
                load.speeds[n // len(zones) % len(load.speeds)],
            )
            for n in range(load.targets)
        ]
        self.entries = [target.entry for target in self.targets]
        self.tables = [create_table() for _ in range(load.balancers)]
        self.central: deque = deque()
        self.idle = sorted(self.targets, key=lambda target: target.speed)
        self.times: list[float] = []
        self.rejected = self.placed = self.placed_elsewhere = 0
        self.samples: list[bool] = []

    def run(self) -> PlacementResult:
        """Run the load to its end and return the result."""
        load = self.load
        work = load.service_s * (1 + self.long_share * (LONG_REQUEST_FACTOR - 1))
        capacity = sum(target.speed for target in self.targets) / work
        rate = capacity * load.load
        self._arrive(rate * load.single_share, 1)
        self._arrive(
            rate * (1 - load.single_share) / load.requests_per_flow,
            load.requests_per_flow,
        )
        for target in self.targets:
            offset_s = self.random.random() * REPORT_INTERVAL_S
            self._schedule(offset_s, self._report, target)
        self._schedule(load.warm_up_s, self._sample)
        end = load.warm_up_s + load.duration_s
        while self.events[0][0] < end:
            self.now, _, handler, arguments = heapq.heappop(self.events)
            handler(*arguments)
        busy = [target.busy_s for target in self.targets]
        late = sum(time > load.aim_s for time in self.times) + self.rejected
        return PlacementResult(
            late / (len(self.times) + self.rejected),
            max(busy) * len(busy) / sum(busy),
            sum(self.samples) / len(self.samples),
            sum(self.times) / len(self.times),
            self.placed_elsewhere / max(1, self.placed),
        )

    def _schedule(self, delay_s: float, handler: Callable, *arguments) -> None:
        event = (self.now + delay_s, next(self.sequence), handler, arguments)
        heapq.heappush(self.events, event)

    def _arrive(self, rate: float, requests: int) -> None:
        if rate:
            delay_s = self.random.expovariate(rate)
            self._schedule(delay_s, self._open, rate, requests)

    def _open(self, rate: float, requests: int) -> None:
        self._arrive(rate, requests)
        if self.choose is None:
            self._request(None, requests, self.now)
            return
        balancer = self.random.randrange(len(self.tables))
        zone = self.load.zones[balancer % len(self.load.zones)]
        table = self.tables[balancer]
        flow = next(self.flow_numbers).to_bytes(12, "big")
        ranked = self.choose(self.entries, flow, zone, table, self.now)
        table.record_placement(ranked[0].host, self.now)
        self.placed += 1
        self.placed_elsewhere += ranked[0].zone != zone
        hosts = [target.host for target in ranked[: MAX_PASSES + 1]]
        self._schedule(MESSAGE_S, self._offer, hosts, table, requests, self.now)

    def _offer(self, hosts: list, table: AgentTable, requests: int, at: float) -> None:
        target = self.targets[hosts[0] - FIRST_HOST]
        if len(target.queue) + target.opening < MAX_IN_FLIGHT:
            self._accept(target, table, requests, at)
        elif len(hosts) > 1:
            self._schedule(MESSAGE_S, self._offer, hosts[1:], table, requests, at)
        else:
            target.waiting.append((table, requests, at))

    def _accept(self, target, table: AgentTable, requests: int, at: float) -> None:
        target.opening += 1
        load = self._measure(target)
        host = target.entry.host
        self._schedule(MESSAGE_S, self._record, table, host, load)
        self._schedule(OPENING_S, self._confirm, target, requests, at)

    def _confirm(self, target, requests: int, at: float) -> None:
        target.opening -= 1
        target.flows += 1
        self._request(target, requests, at)

    def _request(self, target, requests: int, at: float) -> None:
        work = self.load.service_s
        if self.random.random() < self.long_share:
            work *= LONG_REQUEST_FACTOR
        if target is None:
            self.central.append((at, work, requests, 0))
            self._take_central()
        elif len(target.queue) > QUEUE_LIMIT:
            self.rejected += self.now >= self.load.warm_up_s
            self._continue(target, requests)
        else:
            in_flight = len(target.queue) + 1
            target.queue.append((at, self.now, work, requests, in_flight))
            if in_flight == 1:
                self._start(target, work)

    def _take_central(self) -> None:
        while self.central and self.idle:
            target = self.idle.pop()  # the fastest
            at, work, requests, _ = self.central.popleft()
            target.queue.append((at, self.now, work, requests, 1))
            self._start(target, work)

    def _start(self, target, work: float) -> None:
        elapsed = work / target.speed
        if self.now >= self.load.warm_up_s:
            target.busy_s += elapsed
        self._schedule(elapsed, self._answer, target)

    def _answer(self, target) -> None:
        at, arrived, _, requests, in_flight = target.queue.popleft()
        if at >= self.load.warm_up_s:
            self.times.append(self.now - at)
        target.work_time.record_answer(
            self.now - arrived, in_flight=in_flight, slots=1, now=self.now
        )
        if self.choose is None:
            self.idle.append(target)
            self.idle.sort(key=lambda idle: idle.speed)
            if requests > 1:
                self._schedule(self._draw_gap(), self._repeat, None, requests - 1)
            self._take_central()
            return
        self._continue(target, requests)
        if target.queue:
            self._start(target, target.queue[0][2])
        if target.waiting and len(target.queue) + target.opening < MAX_IN_FLIGHT:
            self._accept(target, *target.waiting.popleft())

    def _continue(self, target, requests: int) -> None:
        if requests > 1:
            self._schedule(self._draw_gap(), self._repeat, target, requests - 1)
        else:
            target.flows -= 1

    def _repeat(self, target, requests: int) -> None:
        self._request(target, requests, self.now)

    def _draw_gap(self) -> float:
        return self.random.expovariate(1 / self.load.gap_s)

    def _measure(self, target) -> Load:
        in_flight = len(target.queue) + len(target.waiting)
        work_time_us = round(target.work_time.work_time_s * 1_000_000)
        return Load(target.flows, in_flight, 1, work_time_us=work_time_us)

    def _report(self, target) -> None:
        load, host = self._measure(target), target.entry.host
        for _ in range(min(REPORTS_PER_INTERVAL, len(self.tables))):
            table = self.tables[target.next_balancer]
            target.next_balancer = (target.next_balancer + 1) % len(self.tables)
            self._schedule(MESSAGE_S, self._record, table, host, load)
        self._schedule(REPORT_INTERVAL_S, self._report, target)

    def _record(self, table: AgentTable, host: int, load: Load) -> None:
        table.record_load(host, load, self.now)

    def _sample(self) -> None:
        in_use = [len(target.queue) for target in self.targets]
        self.samples.append(max(in_use) > 2 and min(in_use) == 0)
        self._schedule(SAMPLE_INTERVAL_S, self._sample)
