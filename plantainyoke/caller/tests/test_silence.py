from hypothesis import given
from hypothesis import strategies as st

from plantainyoke.caller._silence import SILENCE_S, SilenceDetector

STEP_S = 0.1


class TestSilenceDetector:
    def test_request_after_an_idle_time_is_not_silence(self):
        detector = SilenceDetector(0.0)
        assert not detector.check(10.0, received_at=0.0, is_active=False)
        assert detector.check(10.1, received_at=0.0, is_active=True)
        assert not detector.is_silent(10.1)
        assert not detector.is_silent(10.1 + SILENCE_S / 2)

    def test_unanswered_probe_is_silence(self):
        detector = SilenceDetector(0.0)
        assert detector.check(1.0, received_at=0.0, is_active=True)
        assert detector.is_silent(1.0 + SILENCE_S)

    @given(st.lists(st.floats(0.0, 1.0), max_size=200))
    def test_path_that_answers_every_probe_is_never_silent(self, delays):
        detector = SilenceDetector(0.0)
        now = received_at = 0.0
        for delay in delays:
            now += STEP_S
            if detector.check(now, received_at=received_at, is_active=True):
                now += delay
                received_at = now
            detector.check(now, received_at=received_at, is_active=True)
            assert not detector.is_silent(now)
