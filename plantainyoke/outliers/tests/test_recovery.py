"""Faults of the recovery of targets, and resets without proof."""

import pytest

from plantainyoke.flows import FlowRefusal
from plantainyoke.hashing import compute_service_id
from plantainyoke.outliers.tests.test_ejector import ACK, HOST, fail_requests, start
from plantainyoke.platform import PACKET_CODEC
from plantainyoke.standins import PacketSimulation, write_packet
from plantainyoke.standins._packet_simulation import SERVICE_TIME_S


class TestRecoveryWithoutIdempotentFlows:
    def test_other_flows_are_admitted_if_no_idempotent_one_comes(self):
        """A service without idempotent routes would lose the target for good."""
        simulation, callers = start()
        admission = fail_requests(simulation, callers[:2]).admission
        service = compute_service_id("orders")

        def admit(at):
            return admission.admit_flow(service, 0, at, mostly_cold=False)

        retry_at = admission.ejection.retry_at
        assert admit(retry_at + 1.0) == FlowRefusal.FAILING
        for trial in (b"1", b"2", b"3"):
            assert admit(retry_at + 17.0) == FlowRefusal.NONE
            admission.ejection.start_trial(trial, retry_at + 17.0)
            assert admit(retry_at + 17.0) == FlowRefusal.FAILING  # one at a time
            admission.ejection.record_answer(trial, retry_at + 17.0)
        assert not admission.ejection.is_failing


class TestResetsOfIdleFlows:
    def test_flow_that_opened_after_the_latest_reset_is_kept(self):
        """A target that was started again at once would lose its new flows."""
        simulation, callers = start()
        agent = fail_requests(simulation, callers[:3])
        agent.admission.ejection.is_failing = False  # admits the flow at once
        new = simulation.open_flow()
        simulation.advance(0.1)
        assert new.is_open
        agent.admission.ejection.is_failing = True
        agent.admission.ejection.ignored_until = 0.0
        simulation.advance(0.8)
        assert new.reset_at is None

    def test_flow_with_an_unfinished_upload_is_not_idle(self):
        """The upload's request would be lost, and may not be repeated."""
        simulation, callers = start()
        upload = callers[7]
        payload = b"request 1".ljust(PACKET_CODEC.max_payload_bytes)
        simulation.send_from_caller(
            write_packet(
                upload.flow,
                ACK,
                sequence=upload.sequence,
                acknowledged=upload.acknowledged,
                payload=payload,
            )
        )
        simulation.targets[HOST].is_alive = False  # the next packet is lost
        agent = fail_requests(simulation, callers[:3])
        simulation.advance(0.5)
        assert agent.metrics.counters["reset.target_failing"]
        assert upload.reset_at is None


class TestFullTarget:
    def test_requests_overtaken_by_rejections_are_no_failure(self):
        """A full target rejects later requests at once while earlier ones wait."""
        simulation, callers = start(flows=16, aim_s=0.3)
        target = simulation.targets[HOST]
        work = target._schedule_request

        def schedule_or_reject():
            waiting_s = max([0.0, *target.slots_free_at]) - simulation.now
            return 0.001 if waiting_s > 2.5 * SERVICE_TIME_S else work()

        target._schedule_request = schedule_or_reject
        for _ in range(10):
            for caller in callers:
                caller.send_request()
                simulation.advance(0.01)
            simulation.advance(0.04)
        simulation.advance(0.2)
        assert all(caller.last_answered == 10 for caller in callers)
        agent = simulation.get_agent(HOST)
        assert not agent.metrics.counters["outlier.failed"]


class TestServiceOfWhichAllTargetsFail:
    @pytest.mark.parametrize("is_idempotent", [False, True])
    @pytest.mark.parametrize("trial_in_s", [-0.1, 1.0])
    @pytest.mark.parametrize("targets", [1, 2, 4, 12])
    def test_flows_are_placed_in_spite_of_reports(
        self, targets, trial_in_s, is_idempotent
    ):
        """Reports state no failure while a trial is due, so that the limit of the
        ejection is not seen; every flow was then reset."""
        simulation = PacketSimulation(
            {"orders": targets}, aim_s=0.3, timeout_s=1.5, is_idempotent=is_idempotent
        )
        simulation.advance(0.5)
        for host in simulation.targets:
            ejection = simulation.get_agent(host).admission.ejection
            ejection.eject(simulation.now)
            ejection.retry_at = simulation.now + trial_in_s
        callers = []
        for _ in range(20):
            callers.append(simulation.open_flow())
            simulation.advance(0.05)
        simulation.advance(1.0)
        assert all(caller.is_open for caller in callers)
