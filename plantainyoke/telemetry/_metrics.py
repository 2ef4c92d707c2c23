"""Counters, gauges and histograms of one process.

They are kept for ``status`` and the Prometheus text format. Counters and gauges are
also sent to a statsd server if one is configured.
"""

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from plantainyoke.telemetry._histogram import LatencyHistogram

PREFIX = "plantainyoke"
MAX_PENDING_SAMPLES = 1000  # of one name, before they are added to its histogram


class Metrics:
    """Counts events by name and reports them to a statsd server.

    Hot paths count locally; ``flush`` sends the differences since the last flush, so
    that handling a packet sends no metrics datagram.

    Parameters
    ----------
    address : tuple of (str, int), default=None
        Address of the statsd server; None keeps the counters local.

    Attributes
    ----------
    counters : Counter of str
    sent : Counter of str
        The counters at the last flush.
    gauges : dict of str to float
    samples : dict of str to list of float
        Durations in seconds that are not in the histograms yet.
    histograms : dict of str to LatencyHistogram
    client : statsd.StatsClient or None
    """

    def __init__(self, address: tuple[str, int] | None = None) -> None:
        self.counters: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}
        self.samples: dict[str, list[float]] = {}
        self.histograms: dict[str, LatencyHistogram] = {}
        self.client = None
        if address is not None:
            import statsd  # imported late: a program without it starts sooner

            self.client = statsd.StatsClient(*address, prefix=PREFIX)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] += amount

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram."""
        samples = self.samples.setdefault(name, [])
        samples.append(seconds)
        if len(samples) >= MAX_PENDING_SAMPLES:
            self.record_samples()

    def record_samples(self) -> None:
        """Move the pending samples into their histograms."""
        # Imported late: a program starts sooner without it.
        from plantainyoke.telemetry._histogram import LatencyHistogram

        for name, samples in self.samples.items():
            histogram = self.histograms.get(name)
            if histogram is None:
                histogram = self.histograms[name] = LatencyHistogram()
            for seconds in samples:
                histogram.record(seconds)
        self.samples.clear()

    def flush(self) -> None:
        """Send the changes of counters since the last flush, and all gauges."""
        if self.client is None:
            return
        with self.client.pipeline() as pipeline:
            for name, total in self.counters.items():
                change = total - self.sent[name]
                if change:
                    pipeline.incr(name, change)
            for name, value in self.gauges.items():
                pipeline.gauge(name, value)
        self.sent = Counter(self.counters)

    def close(self) -> None:
        """Flush and close the socket."""
        if self.client is not None:
            self.flush()
            self.client.close()
            self.client = None


def format_metrics(metrics: Metrics) -> str:
    """Return all metrics in the Prometheus text format."""
    lines = []
    for name, value in sorted(metrics.counters.items()):
        lines.append(f"{PREFIX}_{name.replace('.', '_')}_total {value}")
    for name, value in sorted(metrics.gauges.items()):
        lines.append(f"{PREFIX}_{name.replace('.', '_')} {value}")
    metrics.record_samples()
    for name, histogram in sorted(metrics.histograms.items()):
        lines += histogram.format_lines(f"{PREFIX}_{name.replace('.', '_')}")
    return "\n".join(lines) + "\n"
