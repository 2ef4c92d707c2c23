"""Latency histograms, reported as quantiles."""

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99)


class LatencyHistogram:
    """Durations of one kind of event, kept in microseconds."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Add one duration."""
        microseconds = min(HIGHEST_US, max(LOWEST_US, round(seconds * 1_000_000)))
        self.histogram.record_value(microseconds)

    def format_lines(self, name: str) -> list[str]:
        """Return the quantiles and the count in the Prometheus text format."""
        lines = [
            f'{name}_seconds{{quantile="{quantile}"}} '
            f"{self.histogram.get_value_at_percentile(100 * quantile) / 1e6:.6f}"
            for quantile in QUANTILES
        ]
        lines.append(f"{name}_seconds_count {self.histogram.get_total_count()}")
        return lines
