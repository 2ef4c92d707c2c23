"""Evidence that an agent accepts or rejects, and the recovery of an ejected target."""

import msgspec
import pytest

from plantainyoke.flows import FlowRefusal
from plantainyoke.hashing import compute_service_id
from plantainyoke.outliers import (
    EjectionState,
    OutcomeKind,
    OutcomeWindow,
    RequestTracker,
)
from plantainyoke.standins import PacketSimulation, write_packet

HOST, RST, ACK, FIN = 10, 2, 32, 128


def start(flows=8, **options):
    """Return a simulation and open flows of the target of ``HOST``."""
    simulation = PacketSimulation({"orders": 1}, slots=1, **options)
    callers = [simulation.open_flow() for _ in range(flows)]
    simulation.advance(2.5)
    other = msgspec.structs.replace(
        simulation.targets[HOST].entry, name="other", host=99
    )
    simulation.publish(targets=(other,))
    simulation.advance(0.5)
    assert len(simulation.targets[HOST].flows) == flows
    return simulation, callers


def fail_requests(simulation, callers, *, request=True, prelude=None):
    """Let the target reset flows one by one; return the agent."""
    for caller in callers:
        if request:
            caller.send_request()
        simulation.advance(0.01)
        if prelude:
            prelude(simulation, caller)
        packet = write_packet(caller.flow, RST, from_target=True)
        simulation.send_from_target(HOST, packet)
        simulation.advance(0.1)
    return simulation.get_agent(HOST)


def _send(flags, *, from_target=False):
    def send(simulation, caller):
        packet = write_packet(
            caller.flow,
            flags,
            sequence=caller.sequence,
            acknowledged=caller.acknowledged,
            from_target=from_target,
        )
        if from_target:
            simulation.send_from_target(HOST, packet)
        else:
            simulation.send_from_caller(packet)
            simulation.advance(0.01)

    return send


def _change_entry(**fields):
    def change(simulation, callers):
        entry = msgspec.structs.replace(simulation.targets[HOST].entry, **fields)
        simulation.publish(targets=(entry,))
        simulation.advance(0.1)

    return change


class TestEvidence:
    """A false alarm ejects a healthy target or resets its flows."""

    def test_three_resets_eject_the_target_and_reset_its_idle_flows(self):
        simulation, callers = start()
        agent = fail_requests(simulation, callers[:2])
        assert agent.admission.ejection.is_failing
        assert all(caller.reset_at is None for caller in callers[2:])
        callers[7].send_request()
        fail_requests(simulation, callers[2:3])
        assert all(caller.reset_at for caller in callers[3:7])
        assert callers[7].reset_at is None  # its request is answered first
        simulation.advance(1.0)
        assert callers[7].last_answered and callers[7].reset_at

    @pytest.mark.parametrize(
        "prelude",
        [_send(FIN | ACK), _send(FIN, from_target=True), _send(RST | ACK)],
        ids=["caller closes", "target closes", "caller breaks off"],
    )
    def test_reset_of_a_closing_flow_is_no_failure(self, prelude):
        agent = fail_requests(*start(), prelude=prelude)
        assert not agent.metrics.counters["outlier.failed"]

    def test_reset_of_an_idle_flow_is_no_failure(self):
        agent = fail_requests(*start(), request=False)
        assert not agent.metrics.counters["outlier.failed"]

    @pytest.mark.parametrize(
        "event",
        [
            _change_entry(draining=True),
            _change_entry(cold=True),
            lambda simulation, _: simulation.publish(zones_out=("a",)),
            lambda simulation, _: setattr(
                simulation.get_agent(HOST).ejector, "ticked_at", simulation.now - 2
            ),
            lambda simulation, callers: [
                simulation.call_later(0.0, caller.send_request) for caller in callers
            ],
        ],
        ids=["draining", "cold", "zone out", "pause", "overload"],
    )
    def test_reset_that_the_target_is_not_to_blame_for_is_no_failure(self, event):
        simulation, callers = start()
        event(simulation, callers)
        simulation.advance(0.005)
        agent = fail_requests(simulation, callers[6:])  # before the queue is short
        assert not agent.metrics.counters["outlier.failed"]

    def test_agent_that_has_just_started_counts_no_failure(self):
        simulation, callers = start()
        simulation.restart(HOST)
        agent = fail_requests(simulation, callers[:5])
        assert not agent.metrics.counters["outlier.failed"]

    def test_lost_packets_and_a_slow_network_are_no_failure(self):
        simulation, callers = start(flows=4, loss=0.0)
        simulation.loss = 0.3
        for _ in range(10):
            for caller in callers:
                caller.send_request()
            simulation.advance(1.0)
        counters = simulation.get_agent(HOST).metrics.counters
        assert not counters["outlier.failed"] and not counters["reset.target_failing"]

    def test_failures_that_are_rare_or_old_are_no_fault(self):
        window = OutcomeWindow()
        for number in range(100):
            kind = number % 9 == 0  # a tenth fails
            window.record(OutcomeKind(kind), number / 100, slots=1)
            assert not window.proves_impaired(number / 100, slots=1)
        window.clear()
        for at in (0.0, 2.5, 5.0):
            window.record(OutcomeKind.RESET_BY_TARGET, at, slots=1)
            assert not window.is_failing(at, slots=1)


class TestRecovery:
    def test_one_idempotent_flow_at_a_time_is_admitted_after_the_delay(self):
        """More, or others, would lose requests at a target that still fails."""
        simulation, callers = start()
        admission = fail_requests(simulation, callers[:2]).admission
        now, service = simulation.now, compute_service_id("orders")

        def admit(at, **options):
            return admission.admit_flow(service, 0, at, mostly_cold=False, **options)

        assert admit(now, is_idempotent=True) == FlowRefusal.FAILING
        assert admit(now, ignore_failing=True) == FlowRefusal.NONE
        assert admit(now + 2) == FlowRefusal.FAILING
        assert admit(now + 2, is_idempotent=True) == FlowRefusal.NONE
        admission.ejection.start_trial(b"trial", now + 2)
        assert admit(now + 2.1, is_idempotent=True) == FlowRefusal.FAILING

    def test_delay_doubles_until_three_trials_are_answered(self):
        state, now, delays = EjectionState(), 0.0, []
        state.eject(now)
        for _ in range(5):
            now = state.retry_at
            state.start_trial(b"trial", now)
            state.record_failure(now)
            delays.append(state.retry_delay_s)
        assert delays == [4.0, 8.0, 16.0, 16.0, 16.0]
        for answers in (1, 2, 3):
            state.start_trial(b"trial", now)
            assert state.record_answer(b"trial", now) == (answers == 3)
        assert not state.is_failing


class TestUnansweredRequests:
    def test_hanging_target_is_ejected_but_keeps_its_idle_flows(self):
        """Silence is no proof of a fault, so that no open flow is reset."""
        simulation, callers = start(aim_s=0.2)
        simulation.targets[HOST].is_alive = False
        for caller in callers[:3]:
            caller.send_request()
        simulation.advance(0.4)
        assert not simulation.get_agent(HOST).admission.ejection.is_failing
        simulation.advance(1.0)
        assert simulation.get_agent(HOST).admission.ejection.is_failing
        assert not any(caller.reset_at for caller in callers)

    def test_long_request_is_not_overtaken_before_ten_work_times(self):
        """Three in a hundred requests take seven times as long on a healthy target."""
        tracker = RequestTracker()
        tracker.start(b"long", aim_s=0.2, now=0.0)
        found = []
        for number in range(1, 13):
            tracker.start(b"%d" % number, aim_s=0.2, now=number / 10)
            request, now = tracker.end(b"%d" % number), number / 10
            if tracker.list_overtaken(request, now, slots=4, work_time_s=0.1):
                found.append(number)
        assert found == [11]
