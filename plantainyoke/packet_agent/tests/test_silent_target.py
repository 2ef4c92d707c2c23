import msgspec
import pytest

from plantainyoke.standins import PacketSimulation
from plantainyoke.standins._packet_simulation import write_packet

HOST = 10


class SilentTarget:
    """One target that stops to answer, with requests and first packets in flight."""

    def __init__(self, *, is_idempotent=True, is_enabled=True, first_packets=3):
        self.simulation = simulation = PacketSimulation({"orders": 1})
        (route,) = simulation.configuration.routes
        route = msgspec.structs.replace(route, is_idempotent=is_idempotent)
        simulation.publish(
            configuration=msgspec.structs.replace(
                simulation.configuration, version=2, routes=(route,)
            )
        )
        self.callers = [simulation.open_flow() for _ in range(10)]
        simulation.advance(1.5)
        self.agent = simulation.get_agent(HOST)
        self.target = simulation.targets[HOST]
        self.silence_at = simulation.now
        self.target.is_alive = False
        self.busy, self.idle = self.callers[:6], self.callers[6:]
        if not is_enabled:
            self.agent.silent_target.is_enabled = False
        for caller in self.busy:
            caller.send_request()
        for _ in range(first_packets):
            simulation.open_flow()

    def count_resets(self):
        return sum(caller.reset_at is not None for caller in self.callers)


class TestSilentTarget:
    def test_flows_with_a_request_in_flight_are_reset_within_the_callers_deadline(self):
        """Callers noticed a dead target only at their timeout of 1.4 to 1.9 s."""
        case = SilentTarget()
        case.simulation.advance(1.0)
        took_s = [caller.reset_at - case.silence_at for caller in case.busy]
        assert all(0.4 < one < 0.75 for one in took_s)
        assert [caller.reset_at for caller in case.idle] == [None] * len(case.idle)

    @pytest.mark.parametrize("disabled", ["is_idempotent", "is_enabled"])
    def test_other_flows_and_all_without_the_feature_are_left_alone(self, disabled):
        case = SilentTarget(**{disabled: False})
        case.simulation.advance(2.0)
        assert case.count_resets() == 0


class TestNoProof:
    """Each case is one in which the target may be alive."""

    @pytest.mark.parametrize("first_packets", [0, 1])
    def test_a_lost_first_packet_is_no_proof(self, first_packets):
        case = SilentTarget(first_packets=first_packets)
        case.simulation.advance(2.0)
        assert case.count_resets() == 0

    def test_target_that_answers_one_flow_is_not_silent(self):
        case = SilentTarget()
        flow = case.idle[0].flow
        for _ in range(10):
            packet = write_packet(flow, 32, from_target=True)
            case.simulation.send_from_target(HOST, packet)
            case.simulation.advance(0.2)
        assert case.count_resets() == 0

    def test_pause_of_the_agent_is_no_proof(self):
        """The target's packets wait in the agent's socket after the pause."""
        case = SilentTarget()
        detector = case.agent.silent_target
        check, detector.check = detector.check, lambda now: None
        case.simulation.advance(0.7)
        detector.check = check
        case.simulation.advance(0.9)
        assert case.count_resets() == 0

    def test_packet_that_a_slow_agent_reads_late_is_a_sign_of_life(self):
        """It waited in the socket at the first check, and is read before the second."""
        case = SilentTarget()
        detector = case.agent.silent_target
        while not detector.is_suspected:
            case.simulation.advance(0.01)
            assert case.count_resets() == 0
        packet = write_packet(case.idle[0].flow, 32, from_target=True)
        case.simulation.send_from_target(HOST, packet)
        case.simulation.advance(0.35)
        assert case.count_resets() == 0

    def test_agent_that_has_just_started_concludes_nothing(self):
        case = SilentTarget()
        detector = case.agent.silent_target
        started = type(detector)(
            admission=detector.admission,
            flow_table=detector.flow_table,
            sender=detector.sender,
            is_enabled=True,
            started_at=case.simulation.now,
        )
        case.agent.silent_target = started
        case.simulation.advance(0.9)
        assert case.count_resets() == 0

    def test_draining_target_is_left_alone(self):
        case = SilentTarget()
        entry = msgspec.structs.replace(case.target.entry, draining=True)
        case.simulation.publish(targets=(entry,))
        case.simulation.advance(2.0)
        assert case.count_resets() == 0

    def test_slow_target_is_not_silent_before_ten_service_times(self):
        case = SilentTarget()
        case.agent.admission.work_time.work_time_s = 0.2
        case.simulation.advance(1.5)
        assert case.count_resets() == 0


class TestCalmLoad:
    def test_no_flow_is_reset(self):
        case = SilentTarget(first_packets=0)
        case.target.is_alive = True
        for _ in range(10):
            for caller in case.callers:
                caller.send_request()
            case.simulation.open_flow()
            case.simulation.advance(0.3)
        assert case.count_resets() == 0
        assert all(c.last_answered == c.last_requested for c in case.callers)
