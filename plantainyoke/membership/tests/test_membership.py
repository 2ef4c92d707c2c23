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
MAX_DETECTION_S = 2.0  # target: a failed agent gets no new flow after this time


def _hosts(*zones: int) -> HostList:
    return HostList(
        tuple(
            HostEntry((20 << 24 | number) << 16 | 7000, zone, True, False)
            for number, zone in enumerate(zones)
        )
    )


class DetectorHarness:
    """A detector, the updates it announces and an agent that may answer probes."""

    def __init__(self) -> None:
        self.announced: list[Update] = []
        self.detector = FailureDetector(self.announced.append)
        self.now = 100.0

    def probe(self, *, answered: bool, liveness: int = 5) -> None:
        self.detector.record_probe(AGENT, self.now)
        if answered:
            self.detector.record_probe_ack(AGENT, liveness, self.now)
        self.now += STEP_S
        self.detector.expire_probes(self.now)


class TestFailureDetector:
    def test_failed_agent_is_suspected_within_the_detection_time(self):
        harness = DetectorHarness()
        harness.probe(answered=True)
        failed_at = harness.now
        while not harness.detector.is_suspect(AGENT):
            harness.probe(answered=False)
        assert harness.now - failed_at <= MAX_DETECTION_S
        assert harness.announced == [Update(AGENT, 5, Condition.SUSPECT)]
        assert harness.detector.get_status(AGENT).evidence is Evidence.PROBES

    @given(st.lists(st.integers(1, PROBES_TO_SUSPECT - 1), max_size=20))
    def test_agent_with_packet_loss_is_not_suspected(self, losses):
        harness = DetectorHarness()
        for lost in losses:
            for _ in range(lost):
                harness.probe(answered=False)
            harness.probe(answered=True)
            assert not harness.detector.is_suspect(AGENT)

    def test_unanswered_forwards_only_request_a_probe(self):
        harness = DetectorHarness()
        for step in range(20):
            harness.detector.record_forward(AGENT, 100.0 + step)
        assert not harness.detector.is_suspect(AGENT)
        assert AGENT in harness.detector.urgent_agents

    def test_wrongly_suspected_agent_refutes_the_suspicion(self):
        harness = DetectorHarness()
        harness.probe(answered=True)
        for _ in range(PROBES_TO_SUSPECT + 1):
            harness.probe(answered=False)
        assert harness.detector.get_suspected_liveness(AGENT) == 5
        harness.probe(answered=True, liveness=6)
        assert not harness.detector.is_suspect(AGENT)
        assert harness.announced[-1] == Update(AGENT, 6, Condition.ALIVE)

    def test_probe_timeouts_after_a_pause_cause_no_suspicion(self):
        harness = DetectorHarness()
        harness.probe(answered=True)
        harness.detector.record_probe(AGENT, harness.now)
        harness.now += 60.0
        harness.detector.reset_after_pause(harness.now)
        for _ in range(2):
            harness.probe(answered=False)
        assert not harness.detector.is_suspect(AGENT)

    def test_gossip_about_an_agent_that_just_answered_is_checked_first(self):
        harness = DetectorHarness()
        harness.probe(answered=True)
        update = Update(AGENT, 5, Condition.SUSPECT)
        assert not harness.detector.record_gossip(update, harness.now)
        assert not harness.detector.is_suspect(AGENT)
        assert harness.detector.get_suspected_liveness(AGENT) == 5

    @given(
        st.lists(
            st.builds(
                Update, st.just(AGENT), st.integers(0, 6), st.sampled_from(Condition)
            ),
            min_size=1,
        ),
        st.randoms(use_true_random=False),
    )
    def test_order_and_duplicates_of_gossip_do_not_matter(self, updates, rng):
        """Duplicated and reordered updates merge by liveness number."""
        shuffled = updates * 2
        rng.shuffle(shuffled)
        results = []
        for order in (updates, shuffled):
            detector = FailureDetector(lambda update: None)
            for update in order:
                detector.record_gossip(update, 100.0)
            status = detector.get_status(AGENT)
            results.append((status.condition, status.liveness))
        assert results[0] == results[1]

    def test_agents_that_left_the_configuration_are_removed(self):
        harness = DetectorHarness()
        harness.probe(answered=False)
        harness.detector.retain({OTHER: 1})
        assert not harness.detector.statuses
        assert not harness.detector.urgent_agents


class TestGossipQueue:
    @given(st.integers(1, 500), st.integers(1, 10_000))
    def test_every_change_is_sent_equally_often_and_then_removed(self, count, peers):
        queue = GossipQueue()
        sent_counts = dict.fromkeys(range(count), 0)
        for number in range(count):
            queue.add(Update(number, 1, Condition.SUSPECT))
        while queue.pending:
            for update in queue.take_batch(peers):
                sent_counts[update.target] += 1
        assert len(set(sent_counts.values())) == 1
        assert sent_counts[0] >= 3

    def test_newer_change_replaces_the_older(self):
        queue = GossipQueue()
        queue.add(Update(1, 1, Condition.SUSPECT))
        queue.add(Update(1, 2, Condition.ALIVE))
        assert queue.take_batch(5) == [Update(1, 2, Condition.ALIVE)]


class TestZoneFailureDetector:
    AGENTS_BY_ZONE = {7: list(range(100, 120))}

    def _confirm(self, zones: ZoneFailureDetector, now: float) -> list[int]:
        assert zones.sample_agents(now, self.AGENTS_BY_ZONE)
        return zones.confirm_suspects(now + SAMPLE_TIMEOUT_S)

    def test_enough_suspects_and_an_unanswered_sample_make_a_zone_suspect(self):
        zones = ZoneFailureDetector(random.Random(0))
        for agent in range(100, 100 + SUSPECTS_TO_SUSPECT_ZONE):
            zones.record_suspect(7, agent)
        assert self._confirm(zones, 50.0) == [7]
        assert zones.is_suspect(7)

    def test_remote_suspicion_of_a_zone_that_answers_is_not_confirmed(self):
        zones = ZoneFailureDetector(random.Random(0))
        zones.record_alive(7, 10.0)
        zones.record_remote_suspicion(7, 50.0)
        zones.sample_agents(50.0, self.AGENTS_BY_ZONE)
        zones.record_alive(7, 50.1)
        assert zones.confirm_suspects(50.0 + SAMPLE_TIMEOUT_S) == []

    def test_remote_suspicion_of_a_zone_that_just_answered_is_ignored(self):
        zones = ZoneFailureDetector(random.Random(0))
        zones.record_alive(7, 50.0)
        zones.record_remote_suspicion(7, 50.0 + ZONE_SILENCE_S / 2)
        assert zones.sample_agents(51.0, self.AGENTS_BY_ZONE) == []

    def test_any_datagram_from_a_zone_ends_its_suspicion(self):
        zones = ZoneFailureDetector(random.Random(0))
        zones.record_remote_suspicion(7, 50.0)
        assert self._confirm(zones, 50.0) == [7]
        assert zones.record_alive(7, 60.0)
        assert not zones.is_any_suspect

    def test_pause_discards_unconfirmed_suspicions(self):
        zones = ZoneFailureDetector(random.Random(0))
        zones.record_remote_suspicion(7, 50.0)
        zones.sample_agents(50.0, self.AGENTS_BY_ZONE)
        zones.reset_after_pause()
        assert zones.confirm_suspects(50.0 + SAMPLE_TIMEOUT_S) == []


class TestSelectProbedAgents:
    @given(st.lists(st.integers(1, 5), min_size=2, max_size=30), st.data())
    def test_each_agent_is_probed_from_inside_and_outside_its_zone(self, zones, data):
        hosts = _hosts(*zones)
        agents = {number: data.draw(st.sampled_from(zones)) for number in range(1, 30)}
        probing_zones: dict[int, set[int]] = {agent: set() for agent in agents}
        for entry in hosts.entries:
            for agent in select_probed_agents(hosts, agents, entry.address):
                probing_zones[agent].add(entry.zone)
        for agent, zone in agents.items():
            assert zone in probing_zones[agent]
            if len(set(zones)) > 1:
                assert len(probing_zones[agent]) == 2


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
        fallback_plan = plan_distribution(
            HostList(), address=AGENT, zone=2, is_balancer=False
        )
        assert fallback_plan.is_reader
