"""Estimate of an event rate with exponential decay."""

import math

TIME_CONSTANT_S = 2.0


class DecayingRate:
    """Events per second, weighted towards recent ones.

    Parameters
    ----------
    now : float
        Current monotonic time in seconds.

    Attributes
    ----------
    value : float
        Rate in events per second at ``updated_at``.
    updated_at : float
        Monotonic time of the last event in seconds.
    """

    def __init__(self, now: float) -> None:
        self.value = 0.0
        self.updated_at = now

    def record(self, now: float) -> None:
        """Count one event."""
        self.value = self.read(now) + 1.0 / TIME_CONSTANT_S
        self.updated_at = now

    def read(self, now: float) -> float:
        """Return the rate in events per second."""
        elapsed = max(0.0, now - self.updated_at)
        return self.value * math.exp(-elapsed / TIME_CONSTANT_S)
