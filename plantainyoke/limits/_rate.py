"""An exponentially decaying rate of events."""

import math

TIME_CONSTANT_S = 2.0


class DecayingRate:
    """Events a second, weighted towards the latest ones.

    Parameters
    ----------
    now : float
        Current monotonic time in seconds.
    """

    def __init__(self, now: float) -> None:
        self.value = 0.0
        self.updated_at = now

    def record(self, now: float) -> None:
        """Count one event."""
        self.value = self.read(now) + 1.0 / TIME_CONSTANT_S
        self.updated_at = now

    def read(self, now: float) -> float:
        """Return the rate in events a second."""
        elapsed = max(0.0, now - self.updated_at)
        return self.value * math.exp(-elapsed / TIME_CONSTANT_S)
