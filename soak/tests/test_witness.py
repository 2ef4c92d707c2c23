"""Tests that each invariant check accepts valid packets and reports violations."""

import pytest

from plantainyoke.catalogue import Target
from plantainyoke.standins import FakeCaller, FakeTarget, LoopbackHost, write_packet
from soak._witness import (
    APPLY_DEADLINE_S,
    COLD_EXTRA_FLOWS,
    COLD_OVERSHOOT_FACTOR,
    FAULT_EFFECT_S,
    IMPAIRED_REASON,
    IMPAIRED_RESETS,
    IMPAIRED_WINDOW_S,
    RST,
    SYN,
    ZONE_OUT_DEADLINE_S,
    Invariant,
    InvariantChecker,
    Publication,
)

FLOW = bytes((198, 18, 0, 1, 156, 64, 1, 187, 127, 1, 8, 1))
HOST = 10
ACK = 32
START = 100.0


@pytest.fixture
def checker():
    checker = InvariantChecker(START)
    checker.shares = Publication(START, {"orders"})
    checker.ever_shared = {"orders"}
    return checker


def _loopback_host(service="orders"):
    return LoopbackHost("agent-1", "agent", "10.0.0.1", "a", service)


def _target(service="orders"):
    return FakeTarget(None, HOST, Target("t", service, HOST, 1, "a", 4))


def _flow(number):
    return FLOW[:4] + (40_000 + number).to_bytes(2, "big") + FLOW[6:]


def _deliver(checker, now, *, service="orders", flow=FLOW, sent_at=None):
    packet = write_packet(flow, SYN)
    checker.record_sent_packet(
        packet, now if sent_at is None else sent_at, by_target=False
    )
    checker.check_at_target(_target(service), _loopback_host(service), packet, now)


def _violated_invariants(checker):
    return {one.invariant for one in checker.violations}


class TestPackets:
    def test_accepts_packet_that_caller_sent(self, checker):
        _deliver(checker, START + 1)
        assert not checker.violations

    def test_accepts_changed_routing_fields(self, checker):
        packet = write_packet(FLOW, ACK, payload=b"x")
        checker.record_sent_packet(packet, START, by_target=False)
        rewritten = packet[:1] + b"abcde" + packet[6:10] + b"mark" + packet[14:]
        checker.check_at_target(_target(), _loopback_host(), rewritten, START)
        assert not checker.violations

    def test_reports_packet_that_no_caller_sent(self, checker):
        packet = write_packet(FLOW, ACK, payload=b"x")
        checker.record_sent_packet(packet, START, by_target=False)
        changed = packet[:-1] + b"y"
        checker.check_at_target(_target(), _loopback_host(), changed, START)
        assert _violated_invariants(checker) == {Invariant.TARGET_PACKETS_UNALTERED}

    def test_reports_malformed_packet_at_target(self, checker):
        checker.check_at_target(_target(), _loopback_host(), b"x", START)
        assert _violated_invariants(checker) == {Invariant.TARGET_PACKETS_UNALTERED}

    def test_reports_answer_that_no_target_sent(self, checker):
        packet = write_packet(FLOW, ACK, payload=b"x", from_target=True)
        caller = FakeCaller(None, FLOW)
        checker.check_at_caller(caller, "agent-1", packet, START)
        assert _violated_invariants(checker) == {Invariant.CALLER_PACKETS_UNALTERED}

    def test_reports_reset_only_while_flow_is_held(self, checker):
        packet = write_packet(FLOW, RST, from_target=True)
        caller = FakeCaller(None, FLOW)
        checker.check_at_caller(caller, None, packet, START)
        assert not checker.violations
        checker.check_at_caller(caller, "agent-1", packet, START)
        assert _violated_invariants(checker) == {Invariant.OPEN_FLOWS_NOT_RESET}

    @pytest.mark.parametrize(
        ("reason", "holder", "age_s", "resets", "is_allowed"),
        [
            (IMPAIRED_REASON, "agent-1", 1.0, IMPAIRED_RESETS, True),
            (IMPAIRED_REASON, "agent-1", 1.0, IMPAIRED_RESETS - 1, False),
            (IMPAIRED_REASON, "agent-1", IMPAIRED_WINDOW_S + 0.1, 9, False),
            (IMPAIRED_REASON, "agent-2", 1.0, 9, False),
            ("nobody_holds", "agent-1", 1.0, 9, False),
            ("", "agent-1", 1.0, 9, False),
        ],
    )
    def test_allows_reset_only_at_target_that_is_impaired(
        self, checker, reason, holder, age_s, resets, is_allowed
    ):
        """A healthy target's flow must not be excused by another target's fault."""
        for _ in range(resets):
            checker.record_target_reset("agent-1", START)
        packet = write_packet(FLOW, RST, from_target=True)
        caller = FakeCaller(None, FLOW)
        checker.check_at_caller(caller, holder, packet, START + age_s, reason=reason)
        assert (not checker.violations) == is_allowed


class TestPublishedState:
    def test_reports_service_that_never_had_a_share(self, checker):
        _deliver(checker, START + 1, service="drawings")
        assert _violated_invariants(checker) == {Invariant.SERVICES_HAVE_SHARE}

    @pytest.mark.parametrize(
        ("invariant", "deadline_s", "publish"),
        [
            (
                Invariant.CONFIGURATION_APPLIED,
                APPLY_DEADLINE_S,
                lambda instance: setattr(
                    instance, "shares", Publication(START, {"drawings"})
                ),
            ),
            (
                Invariant.NO_FLOWS_TO_DRAINING_TARGETS,
                APPLY_DEADLINE_S,
                lambda instance: instance.draining.update(
                    {"agent-1": Publication(START)}
                ),
            ),
            (
                Invariant.NO_FLOWS_TO_ZONES_OUT,
                ZONE_OUT_DEADLINE_S,
                lambda instance: instance.zones_out.update({"a": Publication(START)}),
            ),
        ],
    )
    def test_reports_flow_sent_after_deadline(
        self, checker, invariant, deadline_s, publish
    ):
        publish(checker)
        _deliver(checker, START + deadline_s - 0.1)
        assert not checker.violations
        _deliver(checker, START + deadline_s + 0.5, flow=_flow(1))
        assert _violated_invariants(checker) == {invariant}

    def test_deadlines_apply_only_after_effects_of_faults(self, checker):
        checker.draining["agent-1"] = Publication(START)
        checker.faults.append([START - 2, START - 1])
        _deliver(checker, START + APPLY_DEADLINE_S + 1)
        assert not checker.violations
        checker.faults[0] = [START - 9, START - FAULT_EFFECT_S - 0.1]
        _deliver(checker, START + APPLY_DEADLINE_S + 1, flow=_flow(1))
        assert _violated_invariants(checker) == {Invariant.NO_FLOWS_TO_DRAINING_TARGETS}

    def test_reports_cold_target_above_limit_per_second(self, checker):
        checker.cold_limits_per_s[HOST] = 4.0
        limit = int(4.0 * COLD_OVERSHOOT_FACTOR + COLD_EXTRA_FLOWS)
        for number in range(limit):
            _deliver(checker, START + number / 100, flow=_flow(number))
        assert not checker.violations
        _deliver(checker, START + 2, flow=_flow(50))
        assert not checker.violations
        for number in range(limit):
            _deliver(checker, START + 2 + number / 100, flow=_flow(100 + number))
        assert _violated_invariants(checker) == {Invariant.COLD_START_LIMITED}
