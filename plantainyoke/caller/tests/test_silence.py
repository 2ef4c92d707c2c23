import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainyoke.caller._silence import (
    IDLE_PING_INTERVAL_S,
    REQUEST_PING_INTERVAL_S,
    SILENCE_S,
    WATCH_PING_INTERVAL_S,
    SilenceDetector,
)

STEP_S = 0.1
LEFT_AFTER_S = 5.0  # a silent path is left within this
RECONNECT_S = 1.2  # one attempt to connect


class TestSilenceDetector:
    def test_request_after_an_idle_time_is_not_silence(self):
        detector = SilenceDetector(0.0)
        assert not detector.check(
            10.0, received_at=0.0, interval_s=IDLE_PING_INTERVAL_S
        )
        assert detector.check(10.1, received_at=0.0, interval_s=REQUEST_PING_INTERVAL_S)
        assert not detector.is_silent(10.1)
        assert not detector.is_silent(10.1 + SILENCE_S / 2)

    def test_unanswered_probe_is_silence(self):
        detector = SilenceDetector(0.0)
        assert detector.check(1.0, received_at=0.0, interval_s=REQUEST_PING_INTERVAL_S)
        assert detector.is_silent(1.0 + SILENCE_S)

    @pytest.mark.parametrize(
        "interval_s", [REQUEST_PING_INTERVAL_S, WATCH_PING_INTERVAL_S]
    )
    def test_mute_path_is_noticed_in_time(self, interval_s):
        detector = SilenceDetector(0.0)
        now = 0.0
        while not detector.is_silent(now):
            now += STEP_S
            detector.check(now, received_at=0.0, interval_s=interval_s)
        assert now <= LEFT_AFTER_S - RECONNECT_S

    @given(st.lists(st.floats(0.0, 1.0), max_size=200))
    def test_path_that_answers_every_probe_is_never_silent(self, delays):
        detector = SilenceDetector(0.0)
        now = received_at = 0.0
        for delay in delays:
            now += STEP_S
            if detector.check(
                now, received_at=received_at, interval_s=REQUEST_PING_INTERVAL_S
            ):
                now += delay
                received_at = now
            detector.check(
                now, received_at=received_at, interval_s=REQUEST_PING_INTERVAL_S
            )
            assert not detector.is_silent(now)
