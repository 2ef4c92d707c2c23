"""Detects that this process was paused."""

import asyncio
from collections.abc import Callable

TICK_S = 0.25
PAUSE_S = 1.0
BACKLOG_S = 0.3  # time in which what waited in sockets is read after a pause


class PauseDetector:
    """Calls listeners after a gap in the monotonic clock.

    Attributes
    ----------
    resumed_at : float
        Loop time at which the last pause ended.
    gap_s : float
        Length of that pause.
    """

    def __init__(self) -> None:
        self.listeners: list[Callable[[float], None]] = []
        self.resumed_at = float("-inf")
        self.gap_s = 0.0
        self.checked_at = float("-inf")

    def check(self, now: float) -> bool:
        """Compare the time with the last tick and report a pause."""
        gap = now - self.checked_at
        paused = self.checked_at != float("-inf") and gap > PAUSE_S
        self.checked_at = now
        if paused:
            self.resumed_at = now
            self.gap_s = gap
            for listener in self.listeners:
                listener(gap)
        return paused

    def backlog_age_s(self, now: float) -> float:
        """Return for how long a datagram that is read now may have waited."""
        return self.gap_s if now - self.resumed_at < BACKLOG_S else 0.0

    async def run(self) -> None:
        """Check at a fixed interval until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self.check(loop.time())
            await asyncio.sleep(TICK_S)
