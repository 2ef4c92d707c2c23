"""An additive-increase, multiplicative-decrease concurrency limit.

The limit rises slowly while an upstream answers, halves on errors and shedding, and
returns to its floor when the upstream appears to be in cold start.

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
MINIMUM_JUMP_S = 0.05  # smaller increases are scheduling noise, not a cold start
BASELINE_WEIGHT = 0.1
SUCCESSES_PER_STEP = 3


class LimitCause(Enum):
    """Cause of the last change of the limit."""

    START = "start"
    SUCCESS = "success"
    SHED = "shed"
    FAILURE = "failure"
    ERROR_BURST = "error_burst"
    LATENCY_JUMP = "latency_jump"
    UNREACHABLE = "unreachable"


class AdaptiveConcurrencyLimit:
    """Number of requests that may run on an upstream at once.

    Parameters
    ----------
    floor : int
        Limit for an upstream in cold start.
    ceiling : int
        Limit for a warm upstream, its number of slots.
    warm_up_requests : int, default=3
        Successes at the floor before the limit first rises.

    Attributes
    ----------
    value : int
        Current limit, from ``floor`` to ``ceiling``.
    cause : LimitCause
        Cause of its last change.
    successes : int
        Successes since the limit last changed or a request last failed, was shed
        or was slow.
    failures : int
        Errors and timeouts since the last answered request.
    slow_answers : int
        Answers with a latency jump since the last answer without one.
    baseline_s : float or None
        Moving average of the latency in seconds; None before the first answer and
        after a reset to the floor.
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
        """Whether the limit is still at the floor and may rise above it."""
        return self.value <= self.floor < self.ceiling

    def record_success(self, latency_s: float) -> None:
        """Record an answered request.

        Repeated latency jumps are treated as a cold start.

        Parameters
        ----------
        latency_s : float
            Time to the answer in seconds.
        """
        self.failures = 0
        if self._is_slow(latency_s):
            self.slow_answers += 1
            self.successes = 0
            if self.slow_answers >= SLOW_ANSWERS_TO_COLD:
                self._reset_to_floor(LimitCause.LATENCY_JUMP)
            return
        self.slow_answers = 0
        self._update_baseline(latency_s)
        self.successes += 1
        required = self.warm_up_requests if self.is_cold else SUCCESSES_PER_STEP
        if self.successes >= required and self.value < self.ceiling:
            self.successes = 0
            self.value += 1
            self.cause = LimitCause.SUCCESS

    def record_shed(self) -> None:
        """Halve the limit after an answer with the shed status of the service."""
        self.successes = 0
        self.value = max(self.floor, int(self.value * DECREASE_FACTOR))
        self.cause = LimitCause.SHED

    def record_failure(self) -> None:
        """Halve the limit after an error or timeout.

        Repeated failures without a success in between are treated as a cold start.
        """
        self.successes = 0
        self.failures += 1
        self.value = max(self.floor, int(self.value * DECREASE_FACTOR))
        self.cause = LimitCause.FAILURE
        if self.failures >= FAILURES_TO_COLD:
            self._reset_to_floor(LimitCause.ERROR_BURST)

    def record_unreachable(self) -> None:
        """Reset the limit to the floor after a failed connection to the upstream.

        An upstream that refuses connections is cold when it restarts.
        """
        self._reset_to_floor(LimitCause.UNREACHABLE)

    def _reset_to_floor(self, cause: LimitCause) -> None:
        self.value = self.floor
        self.cause = cause
        self.successes = 0
        self.failures = 0
        self.slow_answers = 0
        self.baseline_s = None

    def _is_slow(self, latency_s: float) -> bool:
        if self.baseline_s is None or self.value <= self.floor:
            return False
        jump_s = max(self.baseline_s * LATENCY_JUMP_FACTOR, MINIMUM_JUMP_S)
        return latency_s > self.baseline_s + jump_s

    def _update_baseline(self, latency_s: float) -> None:
        if self.baseline_s is None:
            self.baseline_s = latency_s
            return
        self.baseline_s += BASELINE_WEIGHT * (latency_s - self.baseline_s)
