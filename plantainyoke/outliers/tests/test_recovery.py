"""Faults of the recovery of targets, and resets without proof."""

from plantainyoke.flows import FlowRefusal
from plantainyoke.hashing import compute_service_id
from plantainyoke.outliers.tests.test_ejector import fail_requests, start


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
