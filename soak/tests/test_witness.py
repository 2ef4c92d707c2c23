"""Each check of the witness can fail."""

import pytest

from plantainyoke.catalogue import Target
from plantainyoke.standins import FakeCaller, FakeTarget, LoopbackHost, write_packet
from soak._witness import (
    APPLY_S,
    COLD_EXTRA,
    COLD_FACTOR,
    RST,
    STABLE_S,
    SYN,
    ZONE_OUT_S,
    Promise,
    Statement,
    Witness,
)

FLOW = bytes((198, 18, 0, 1, 156, 64, 1, 187, 127, 1, 8, 1))
HOST = 10
ACK = 32
START = 100.0


@pytest.fixture
def witness():
    witness = Witness(START)
    witness.shares = Statement(START, {"orders"})
    witness.ever_shared = {"orders"}
    return witness


def _loopback_host(service="orders"):
    return LoopbackHost("agent-1", "agent", "10.0.0.1", "a", service)


def _target(service="orders"):
    return FakeTarget(None, HOST, Target("t", service, HOST, 1, "a", 4))


def _flow(number):
    return FLOW[:4] + (40_000 + number).to_bytes(2, "big") + FLOW[6:]


def _deliver(witness, now, *, service="orders", flow=FLOW, sent_at=None):
    packet = write_packet(flow, SYN)
    witness.note_written(packet, now if sent_at is None else sent_at, by_target=False)
    witness.check_at_target(_target(service), _loopback_host(service), packet, now)


def _promises(witness):
    return {one.promise for one in witness.violations}


class TestPackets:
    def test_what_callers_wrote_is_accepted(self, witness):
        _deliver(witness, START + 1)
        assert not witness.violations

    def test_routing_marks_are_no_change(self, witness):
        packet = write_packet(FLOW, ACK, payload=b"x")
        witness.note_written(packet, START, by_target=False)
        marked = packet[:1] + b"abcde" + packet[6:10] + b"mark" + packet[14:]
        witness.check_at_target(_target(), _loopback_host(), marked, START)
        assert not witness.violations

    def test_packet_that_no_caller_wrote(self, witness):
        packet = write_packet(FLOW, ACK, payload=b"x")
        witness.note_written(packet, START, by_target=False)
        changed = packet[:-1] + b"y"
        witness.check_at_target(_target(), _loopback_host(), changed, START)
        assert _promises(witness) == {Promise.TARGETS_GET_WHAT_WAS_WRITTEN}

    def test_bytes_that_are_no_packet(self, witness):
        witness.check_at_target(_target(), _loopback_host(), b"x", START)
        assert _promises(witness) == {Promise.TARGETS_GET_WHAT_WAS_WRITTEN}

    def test_answer_that_no_target_wrote(self, witness):
        packet = write_packet(FLOW, ACK, payload=b"x", from_target=True)
        caller = FakeCaller(None, FLOW)
        witness.check_at_caller(caller, "agent-1", packet, START)
        assert _promises(witness) == {Promise.CALLERS_GET_WHAT_WAS_WRITTEN}

    def test_reset_of_a_flow_that_is_held(self, witness):
        packet = write_packet(FLOW, RST, from_target=True)
        caller = FakeCaller(None, FLOW)
        witness.check_at_caller(caller, None, packet, START)
        assert not witness.violations
        witness.check_at_caller(caller, "agent-1", packet, START)
        assert _promises(witness) == {Promise.FLOWS_LIVE_ON}


class TestPublishedState:
    def test_service_that_never_had_a_share(self, witness):
        _deliver(witness, START + 1, service="drawings")
        assert _promises(witness) == {Promise.SERVICES_HAVE_A_SHARE}

    @pytest.mark.parametrize(
        ("promise", "bound_s", "publish"),
        [
            (
                Promise.CONFIGURATION_IN_FORCE,
                APPLY_S,
                lambda w: setattr(w, "shares", Statement(START, {"drawings"})),
            ),
            (
                Promise.DRAINING_TARGETS_LEFT_ALONE,
                APPLY_S,
                lambda w: w.draining.update({"agent-1": Statement(START)}),
            ),
            (
                Promise.ZONES_OUT_LEFT_ALONE,
                ZONE_OUT_S,
                lambda w: w.zones_out.update({"a": Statement(START)}),
            ),
        ],
    )
    def test_bounds(self, witness, promise, bound_s, publish):
        publish(witness)
        _deliver(witness, START + bound_s - 0.1)
        assert not witness.violations
        _deliver(witness, START + bound_s + 0.5, flow=_flow(1))
        assert _promises(witness) == {promise}

    def test_bounds_wait_for_the_end_of_faults(self, witness):
        witness.draining["agent-1"] = Statement(START)
        witness.faults.append([START - 2, START - 1])
        _deliver(witness, START + APPLY_S + 1)
        assert not witness.violations
        witness.faults[0] = [START - 9, START - STABLE_S - 0.1]
        _deliver(witness, START + APPLY_S + 1, flow=_flow(1))
        assert _promises(witness) == {Promise.DRAINING_TARGETS_LEFT_ALONE}

    def test_cold_target(self, witness):
        witness.cold_rates[HOST] = 4.0
        bound = int(4.0 * COLD_FACTOR + COLD_EXTRA)
        for number in range(bound):
            _deliver(witness, START + number / 100, flow=_flow(number))
        assert not witness.violations
        _deliver(witness, START + 2, flow=_flow(50))
        assert not witness.violations
        for number in range(bound):
            _deliver(witness, START + 2 + number / 100, flow=_flow(100 + number))
        assert _promises(witness) == {Promise.COLD_TARGETS_SPARED}
