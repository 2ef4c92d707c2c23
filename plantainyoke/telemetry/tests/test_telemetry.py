import io
import logging
import os
import re

from plantainyoke.telemetry import (
    Metrics,
    configure_logging,
    format_metrics,
    log_event,
)
from plantainyoke.telemetry._bounded import (
    BURST_LINES,
    LINES_PER_S,
    BoundedHandler,
)


class _Clock:
    now = 0.0

    def __call__(self) -> float:
        return self.now


def _record(text="line"):
    return logging.LogRecord("x", logging.INFO, __file__, 1, text, None, None)


def _read(descriptor):
    os.set_blocking(descriptor, False)
    chunks = []
    try:
        while chunk := os.read(descriptor, 65_536):
            chunks.append(chunk)
    except BlockingIOError:
        pass
    return b"".join(chunks).decode().splitlines()


class TestBoundedHandler:
    def test_lines_above_the_rate_are_dropped_and_reported(self):
        reader, writer = os.pipe()
        clock = _Clock()
        handler = BoundedHandler(writer, clock=clock)
        for _ in range(BURST_LINES + 500):
            handler.emit(_record())
        assert len(_read(reader)) == BURST_LINES
        clock.now = 2.0
        handler.emit(_record())
        assert _read(reader) == ["event=log_dropped lines=500", "line"]
        for _ in range(10 * LINES_PER_S):
            handler.emit(_record())
        assert len(_read(reader)) <= 2 * LINES_PER_S

    def test_reader_that_stops_reading_does_not_block(self):
        reader, writer = os.pipe()
        clock = _Clock()
        handler = BoundedHandler(writer, clock=clock)
        for second in range(20):
            clock.now = float(second)
            for _ in range(LINES_PER_S):
                handler.emit(_record("x" * 100))
        assert handler.dropped
        before = _read(reader)
        assert set(before[:-1]) <= {"x" * 100}

    def test_closed_reader_raises_no_error(self):
        reader, writer = os.pipe()
        handler = BoundedHandler(writer, clock=_Clock())
        os.close(reader)
        handler.emit(_record())
        os.close(writer)


class TestConfigureLogging:
    def test_line_has_milliseconds_fields_and_no_line_breaks(self):
        stream = io.StringIO()
        configure_logging(level="info", process="agent-1", stream=stream)
        log_event("entry_unusable", key='a "b"\nc', nothing=None)
        (line,) = stream.getvalue().splitlines()
        assert re.fullmatch(
            r"time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z level=INFO "
            r'event=entry_unusable process=agent-1 key="a \\"b\\" c"',
            line,
        )


class TestMetrics:
    def test_prometheus_text_format(self):
        metrics = Metrics()
        metrics.count("reset.no_route", 3)
        metrics.gauge("targets", 7)
        for milliseconds in range(1, 101):
            metrics.observe("answer", milliseconds / 1000)
        lines = format_metrics(metrics).splitlines()
        assert "plantainyoke_reset_no_route_total 3" in lines
        assert "plantainyoke_targets 7" in lines
        assert "plantainyoke_answer_seconds_count 100" in lines
        (median,) = [line for line in lines if 'answer_seconds{quantile="0.5"}' in line]
        assert 0.045 <= float(median.split()[1]) <= 0.055

    def test_number_of_pending_samples_is_bounded(self):
        metrics = Metrics()
        for _ in range(5000):
            metrics.observe("answer", 0.01)
        assert sum(len(samples) for samples in metrics.samples.values()) < 1000
