"""Detects pauses of this process.

A process that resumes finds its timers expired and old datagrams in its sockets. The
listeners keep it from treating peers as unreachable or requests as new because of that.
"""

import asyncio
from collections.abc import Callable

TICK_S = 0.25
PAUSE_S = 1.0
BACKLOG_S = 0.3  # after a pause, time until datagrams queued in sockets are read


class PauseDetector:
    """Calls listeners after a gap in the monotonic clock.

    Attributes
    ----------
    listeners : list of callable
        Called with the length of a pause in seconds.
    resumed_at : float
        Loop time at which the last pause was detected.
    gap_s : float
        Length of that pause in seconds.
    checked_at : float
        Loop time of the last check.
    """

    def __init__(self) -> None:
        self.listeners: list[Callable[[float], None]] = []
        self.resumed_at = float("-inf")
        self.gap_s = 0.0
        self.checked_at = float("-inf")

    def check(self, now: float) -> bool:
        """Return whether the process was paused since the last check."""
        gap_s = now - self.checked_at
        paused = self.checked_at != float("-inf") and gap_s > PAUSE_S
        self.checked_at = now
        if paused:
            self.resumed_at = now
            self.gap_s = gap_s
            for listener in self.listeners:
                listener(gap_s)
        return paused

    def backlog_age_s(self, now: float) -> float:
        """Return the longest time for which data read now may have been queued."""
        return self.gap_s if now - self.resumed_at < BACKLOG_S else 0.0

    async def run(self) -> None:
        """Check at a fixed interval until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self.check(loop.time())
            await asyncio.sleep(TICK_S)
