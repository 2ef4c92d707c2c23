from plantainyoke.packet_node import BootClockPauseDetector


class TestBootClockPauseDetector:
    def test_regular_intervals_are_no_pause(self):
        times = iter([0.0, 0.25, 0.5, 0.9])
        detector = BootClockPauseDetector(lambda: next(times))
        assert [detector.measure_pause_s() for _ in range(3)] == [0.0, 0.0, 0.0]

    def test_pause_is_reported_once(self):
        times = iter([0.0, 0.25, 4.25, 4.5])
        detector = BootClockPauseDetector(lambda: next(times))
        assert [detector.measure_pause_s() for _ in range(3)] == [0.0, 4.0, 0.0]
