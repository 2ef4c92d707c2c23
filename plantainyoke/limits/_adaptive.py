"""An additive-increase, multiplicative-decrease concurrency limit.

References
----------
Chiu and Jain, "Analysis of the Increase and Decrease Algorithms for Congestion
Avoidance in Computer Networks", 1989.
"""

from enum import Enum

DECREASE_FACTOR = 0.5
FAILURES_TO_COLD = 2
SLOW_ANSWERS_TO_COLD = 2
LATENCY_JUMP_FACTOR = 4.0
MINIMUM_JUMP_S = 0.05  # scheduling noise below this is not a cold start
BASELINE_WEIGHT = 0.1
SUCCESSES_PER_STEP = 3


class LimitCause(Enum):
    """Why the limit last changed."""

    START = "start"
    SUCCESS = "success"
    SHED = "shed"
    FAILURE = "failure"
    ERROR_BURST = "error_burst"
    LATENCY_JUMP = "latency_jump"
    UNREACHABLE = "unreachable"


class AdaptiveConcurrencyLimit:
    """Concurrency that an upstream is trusted with.

    Parameters
    ----------
    floor : int
        Concurrency that an upstream in cold start bears.
    ceiling : int
        Slots of a warm upstream.
    warm_up_requests : int, default=3
        Successes at the floor before the limit first rises.
    """

    def __init__(self, floor: int, ceiling: int, *, warm_up_requests: int = 3) -> None:
        self.floor = floor
        self.ceiling = ceiling
        self.warm_up_requests = warm_up_requests
        self.value = floor
        self.cause = LimitCause.START
        self.successes = 0
        self.failures = 0
        self.slow_answers = 0
        self.baseline_s: float | None = None

    @property
    def is_cold(self) -> bool:
        """Whether the upstream still ramps from its floor."""
        return self.value <= self.floor < self.ceiling

    def record_success(self, latency_s: float) -> None:
        """Count an answered request; a sudden latency jump means cold."""
        self.failures = 0
        if self._is_slow(latency_s):
            self.slow_answers += 1
            self.successes = 0
            if self.slow_answers >= SLOW_ANSWERS_TO_COLD:
                self._turn_cold(LimitCause.LATENCY_JUMP)
            return
        self.slow_answers = 0
        self._update_baseline(latency_s)
        self.successes += 1
        wanted = self.warm_up_requests if self.is_cold else SUCCESSES_PER_STEP
        if self.successes >= wanted and self.value < self.ceiling:
            self.successes = 0
            self.value += 1
            self.cause = LimitCause.SUCCESS

    def record_shed(self) -> None:
        """Halve the limit after a declared shedding answer."""
        self.successes = 0
        self.value = max(self.floor, int(self.value * DECREASE_FACTOR))
        self.cause = LimitCause.SHED

    def record_failure(self) -> None:
        """Halve the limit after an error or timeout; a burst means cold."""
        self.successes = 0
        self.failures += 1
        self.value = max(self.floor, int(self.value * DECREASE_FACTOR))
        self.cause = LimitCause.FAILURE
        if self.failures >= FAILURES_TO_COLD:
            self._turn_cold(LimitCause.ERROR_BURST)

    def record_unreachable(self) -> None:
        """Note that the upstream refuses connections; it restarts cold."""
        self._turn_cold(LimitCause.UNREACHABLE)

    def _turn_cold(self, cause: LimitCause) -> None:
        self.value = self.floor
        self.cause = cause
        self.successes = 0
        self.failures = 0
        self.slow_answers = 0
        self.baseline_s = None

    def _is_slow(self, latency_s: float) -> bool:
        if self.baseline_s is None or self.value <= self.floor:
            return False
        jump = max(self.baseline_s * LATENCY_JUMP_FACTOR, MINIMUM_JUMP_S)
        return latency_s > self.baseline_s + jump

    def _update_baseline(self, latency_s: float) -> None:
        if self.baseline_s is None:
            self.baseline_s = latency_s
            return
        self.baseline_s += BASELINE_WEIGHT * (latency_s - self.baseline_s)
