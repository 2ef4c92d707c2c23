"""Detects that this process or its host stood still."""

import time
from collections.abc import Callable

MIN_PAUSE_S = 0.75  # beyond the longest interval between two looks


def read_boot_clock() -> float:
    """Return the clock that also counts the time in which the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BootClockPauseDetector:
    """Looks for gaps in the boot clock.

    The monotonic clock would not do: it stands still with a suspended host.

    Parameters
    ----------
    boot_clock : callable
        Returns seconds.
    """

    def __init__(self, boot_clock: Callable[[], float] = read_boot_clock) -> None:
        self.boot_clock = boot_clock
        self.measured_at = boot_clock()

    def measure_pause_s(self) -> float:
        """Return for how long the process stood still since the last look, or 0."""
        now = self.boot_clock()
        gap_s = now - self.measured_at
        self.measured_at = now
        return gap_s if gap_s > MIN_PAUSE_S else 0.0
