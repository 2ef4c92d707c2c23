"""Detection of pauses of this process or its host.

A paused process has a stale view of the other hosts. It adds the length of the pause to
the age of its catalogue, and a balancer discards the timeouts of agents.
"""

import time
from collections.abc import Callable

MIN_PAUSE_S = 0.75  # above the longest regular interval between two measurements


def read_boot_clock() -> float:
    """Return the time of a clock that keeps running while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BootClockPauseDetector:
    """Detects pauses as gaps between readings of the boot clock.

    The monotonic clock is unsuitable because it stops while the host is suspended.

    Parameters
    ----------
    boot_clock : callable
        Returns the time in seconds.

    Attributes
    ----------
    last_measured_at : float
        Time of the last measurement on this clock.
    """

    def __init__(self, boot_clock: Callable[[], float] = read_boot_clock) -> None:
        self.boot_clock = boot_clock
        self.last_measured_at = boot_clock()

    def measure_pause_s(self) -> float:
        """Return the time since the last measurement if it is a pause.

        Returns
        -------
        float
            Time in seconds, 0 if it is not longer than `MIN_PAUSE_S`.
        """
        now = self.boot_clock()
        gap_s = now - self.last_measured_at
        self.last_measured_at = now
        return gap_s if gap_s > MIN_PAUSE_S else 0.0
