import random

from hypothesis import given
from hypothesis import strategies as st

from plantainyoke.membership import (
    Evidence,
    FailureDetector,
    GossipQueue,
    ZoneFailureDetector,
    plan_distribution,
    select_probed_agents,
)
from plantainyoke.membership._detector import (
    PROBES_TO_SUSPECT,
)
from plantainyoke.membership._zone_detector import (
    SAMPLE_TIMEOUT_S,
    SUSPECTS_TO_SUSPECT_ZONE,
    ZONE_SILENCE_S,
)
from plantainyoke.publication import HostEntry, HostList
from plantainyoke.wire import Condition, Update

AGENT, OTHER = 10 << 40 | 7000, 11 << 40 | 7000
STEP_S = 0.3
DETECTION_S = 2.0  # target: a dead agent gets no new flow after this


def _hosts(*zones: int) -> HostList:
    return HostList(
        tuple(
            HostEntry((20 << 24 | number) << 16 | 7000, zone, True, False)
            for number, zone in enumerate(zones)
        )
    )


class Watcher:
    """A detector with its announcements and an agent that may answer."""

    def __init__(self) -> None:
        self.told: list[Update] = []
        self.detector = FailureDetector(self.told.append)
        self.now = 100.0

    def probe(self, *, answered: bool, liveness: int = 5) -> None:
        self.detector.record_probe(AGENT, self.now)
        if answered:
            self.detector.record_answer(AGENT, liveness, self.now)
        self.now += STEP_S
        self.detector.expire_probes(self.now)


class TestFailureDetector:
    def test_dead_agent_is_suspected_in_time(self):
        watcher = Watcher()
        watcher.probe(answered=True)
        died_at = watcher.now
        while not watcher.detector.is_suspect(AGENT):
            watcher.probe(answered=False)
        assert watcher.now - died_at <= DETECTION_S
        assert watcher.told == [Update(AGENT, 5, Condition.SUSPECT)]
        assert watcher.detector.get_status(AGENT).evidence is Evidence.PROBES

    @given(st.lists(st.integers(1, PROBES_TO_SUSPECT - 1), max_size=20))
    def test_lossy_agent_is_not_condemned(self, losses):
        watcher = Watcher()
        for lost in losses:
            for _ in range(lost):
                watcher.probe(answered=False)
            watcher.probe(answered=True)
            assert not watcher.detector.is_suspect(AGENT)

    def test_forwards_without_returns_only_start_probing(self):
        watcher = Watcher()
        for step in range(20):
            watcher.detector.record_forward(AGENT, 100.0 + step)
        assert not watcher.detector.is_suspect(AGENT)
        assert AGENT in watcher.detector.urgent_agents

    def test_wrongly_suspected_agent_refutes(self):
        watcher = Watcher()
        watcher.probe(answered=True)
        for _ in range(PROBES_TO_SUSPECT + 1):
            watcher.probe(answered=False)
        assert watcher.detector.get_suspected_liveness(AGENT) == 5
        watcher.probe(answered=True, liveness=6)
        assert not watcher.detector.is_suspect(AGENT)
        assert watcher.told[-1] == Update(AGENT, 6, Condition.ALIVE)

    def test_paused_process_condemns_nobody(self):
        watcher = Watcher()
        watcher.probe(answered=True)
        watcher.detector.record_probe(AGENT, watcher.now)
        watcher.now += 60.0
        watcher.detector.reset_after_pause(watcher.now)
        for _ in range(2):
            watcher.probe(answered=False)
        assert not watcher.detector.is_suspect(AGENT)

    def test_hearsay_about_an_agent_that_just_answered_is_checked_first(self):
        watcher = Watcher()
        watcher.probe(answered=True)
        update = Update(AGENT, 5, Condition.SUSPECT)
        assert not watcher.detector.record_gossip(update, watcher.now)
        assert not watcher.detector.is_suspect(AGENT)
        assert watcher.detector.get_suspected_liveness(AGENT) == 5

    @given(
        st.lists(
            st.builds(
                Update, st.just(AGENT), st.integers(0, 6), st.sampled_from(Condition)
            ),
            min_size=1,
        ),
        st.randoms(use_true_random=False),
    )
    def test_every_order_of_gossip_ends_alike(self, updates, rng):
        """Doubled and reordered news merges by liveness number."""
        shuffled = updates * 2
        rng.shuffle(shuffled)
        ends = []
        for order in (updates, shuffled):
            detector = FailureDetector(lambda update: None)
            for update in order:
                detector.record_gossip(update, 100.0)
            status = detector.get_status(AGENT)
            ends.append((status.condition, status.liveness))
        assert ends[0] == ends[1]

    def test_forgets_agents_that_left(self):
        watcher = Watcher()
        watcher.probe(answered=False)
        watcher.detector.retain({OTHER: 1})
        assert not watcher.detector.statuses
        assert not watcher.detector.urgent_agents


class TestGossipQueue:
    @given(st.integers(1, 500), st.integers(1, 10_000))
    def test_every_change_is_told_often_enough_and_then_forgotten(self, count, peers):
        queue = GossipQueue()
        told = dict.fromkeys(range(count), 0)
        for number in range(count):
            queue.add(Update(number, 1, Condition.SUSPECT))
        while queue.pending:
            for update in queue.take_batch(peers):
                told[update.target] += 1
        assert len(set(told.values())) == 1
        assert told[0] >= 3

    def test_newer_change_replaces_the_older(self):
        queue = GossipQueue()
        queue.add(Update(1, 1, Condition.SUSPECT))
        queue.add(Update(1, 2, Condition.ALIVE))
        assert queue.take_batch(5) == [Update(1, 2, Condition.ALIVE)]


class TestZoneFailureDetector:
    AGENTS_OF = {7: list(range(100, 120))}

    def _confirm(self, zones: ZoneFailureDetector, now: float) -> list[int]:
        assert zones.sample_agents(now, self.AGENTS_OF)
        return zones.confirm_suspects(now + SAMPLE_TIMEOUT_S)

    def test_enough_own_suspects_and_a_silent_sample(self):
        zones = ZoneFailureDetector(random.Random(0))
        for agent in range(100, 100 + SUSPECTS_TO_SUSPECT_ZONE):
            zones.record_suspect(7, agent)
        assert self._confirm(zones, 50.0) == [7]
        assert zones.is_suspect(7)

    def test_hint_alone_suspects_nothing_that_answers(self):
        zones = ZoneFailureDetector(random.Random(0))
        zones.record_alive(7, 10.0)
        zones.record_remote_suspicion(7, 50.0)
        zones.sample_agents(50.0, self.AGENTS_OF)
        zones.record_alive(7, 50.1)
        assert zones.confirm_suspects(50.0 + SAMPLE_TIMEOUT_S) == []

    def test_hint_about_a_zone_just_heard_is_ignored(self):
        zones = ZoneFailureDetector(random.Random(0))
        zones.record_alive(7, 50.0)
        zones.record_remote_suspicion(7, 50.0 + ZONE_SILENCE_S / 2)
        assert zones.sample_agents(51.0, self.AGENTS_OF) == []

    def test_any_life_ends_the_suspicion(self):
        zones = ZoneFailureDetector(random.Random(0))
        zones.record_remote_suspicion(7, 50.0)
        assert self._confirm(zones, 50.0) == [7]
        assert zones.record_alive(7, 60.0)
        assert not zones.is_any_suspect

    def test_pause_drops_unconfirmed_doubts(self):
        zones = ZoneFailureDetector(random.Random(0))
        zones.record_remote_suspicion(7, 50.0)
        zones.sample_agents(50.0, self.AGENTS_OF)
        zones.reset_after_pause()
        assert zones.confirm_suspects(50.0 + SAMPLE_TIMEOUT_S) == []


class TestSelectProbedAgents:
    @given(st.lists(st.integers(1, 5), min_size=2, max_size=30), st.data())
    def test_each_agent_has_watchers_inside_and_outside_its_zone(self, zones, data):
        hosts = _hosts(*zones)
        agents = {number: data.draw(st.sampled_from(zones)) for number in range(1, 30)}
        watchers: dict[int, set[int]] = {agent: set() for agent in agents}
        for entry in hosts.entries:
            for agent in select_probed_agents(hosts, agents, entry.address):
                watchers[agent].add(entry.zone)
        for agent, zone in agents.items():
            assert zone in watchers[agent]
            if len(set(zones)) > 1:
                assert len(watchers[agent]) == 2


class TestPlanDistribution:
    @given(st.lists(st.integers(1, 4), min_size=1, max_size=60))
    def test_every_balancer_reaches_a_reader(self, zones):
        hosts = _hosts(*zones)
        plans = {
            entry.address: plan_distribution(
                hosts, address=entry.address, zone=entry.zone, is_balancer=True
            )
            for entry in hosts.entries
        }
        readers = sum(plan.is_reader for plan in plans.values())
        assert readers <= 2 * len(set(zones))
        for address in plans:
            steps = 0
            while not plans[address].is_reader:
                address = plans[address].parents[0]
                steps += 1
                assert steps <= len(zones)

    def test_agents_read_the_platform_only_without_balancers(self):
        plan = plan_distribution(_hosts(1), address=AGENT, zone=2, is_balancer=False)
        assert not plan.is_reader
        assert plan.parents
        alone = plan_distribution(HostList(), address=AGENT, zone=2, is_balancer=False)
        assert alone.is_reader
