import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainyoke.caller._silence import (
    IDLE_PING_INTERVAL_S,
    REQUEST_PING_INTERVAL_S,
    SILENCE_TIMEOUT_S,
    WATCH_PING_INTERVAL_S,
    SilenceDetector,
)

STEP_S = 0.1
FAILOVER_LIMIT_S = 5.0  # from the first lost packet to a new connection
CONNECT_LIMIT_S = 1.2  # one attempt to connect


class TestSilenceDetector:
    def test_idle_path_is_not_silent_when_a_request_starts(self):
        detector = SilenceDetector(0.0)
        assert not detector.check_probe_due(
            10.0, received_at=0.0, interval_s=IDLE_PING_INTERVAL_S
        )
        assert detector.check_probe_due(
            10.1, received_at=0.0, interval_s=REQUEST_PING_INTERVAL_S
        )
        assert not detector.is_silent(10.1)
        assert not detector.is_silent(10.1 + SILENCE_TIMEOUT_S / 2)

    def test_path_is_silent_if_a_probe_is_unanswered(self):
        detector = SilenceDetector(0.0)
        assert detector.check_probe_due(
            1.0, received_at=0.0, interval_s=REQUEST_PING_INTERVAL_S
        )
        assert detector.is_silent(1.0 + SILENCE_TIMEOUT_S)

    @pytest.mark.parametrize(
        "interval_s", [REQUEST_PING_INTERVAL_S, WATCH_PING_INTERVAL_S]
    )
    def test_path_without_datagrams_is_silent_within_the_failover_limit(
        self, interval_s
    ):
        detector = SilenceDetector(0.0)
        now = 0.0
        while not detector.is_silent(now):
            now += STEP_S
            detector.check_probe_due(now, received_at=0.0, interval_s=interval_s)
        assert now <= FAILOVER_LIMIT_S - CONNECT_LIMIT_S

    @given(st.lists(st.floats(0.0, 1.0), max_size=200))
    def test_path_is_never_silent_if_every_probe_is_answered(self, delays):
        detector = SilenceDetector(0.0)
        now = received_at = 0.0
        for delay in delays:
            now += STEP_S
            if detector.check_probe_due(
                now, received_at=received_at, interval_s=REQUEST_PING_INTERVAL_S
            ):
                now += delay
                received_at = now
            detector.check_probe_due(
                now, received_at=received_at, interval_s=REQUEST_PING_INTERVAL_S
            )
            assert not detector.is_silent(now)
