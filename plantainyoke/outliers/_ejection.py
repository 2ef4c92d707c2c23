"""Ejection of a failing target, and its recovery through trial flows.

Nothing here reads a clock: times are arguments.
"""

import msgspec

from plantainyoke.flows import FlowKey

MIN_RETRY_DELAY_S = 2.0  # from the last failure to the first trial flow
MAX_RETRY_DELAY_S = 16.0  # limit of the delay, which doubles with each failed recovery
TRIAL_ANSWERS = 3  # consecutive answers of trial flows that end the ejection
# A trial flow without a request does not block the next one for longer.
TRIAL_TIMEOUT_S = 2.0
# Balancers that ignore the state state so with each flow; after this time none does.
IGNORED_S = 2.0


class EjectionState(msgspec.Struct):
    """Whether a target is ejected, and the progress of its recovery (half-open).

    Load pattern: a target resets part of its requests, and nothing but another request
    shows whether it has recovered. One idempotent request at a time is tried, since
    its caller repeats it after a failure. A target that fails again soon after its
    recovery is tried at doubled intervals.

    Attributes
    ----------
    is_failing : bool
    retry_delay_s : float
        Time from the last failure to the next trial flow.
    retry_at : float
        Time from which on trial flows are admitted, in seconds.
    recovered_at : float or None
        Time of the last recovery, None before the first.
    trial_flow : bytes or None
        Trial flow whose request has no outcome yet.
    trial_at : float
        Time at which it was admitted.
    trial_answers : int
        Consecutive answers of trial flows.
    ignored_until : float
        Time until which balancers are taken to ignore the state.
    """

    is_failing: bool = False
    retry_delay_s: float = 0.0
    retry_at: float = 0.0
    recovered_at: float | None = None
    trial_flow: FlowKey | None = None
    trial_at: float = 0.0
    trial_answers: int = 0
    ignored_until: float = 0.0

    def eject(self, now: float) -> None:
        """Eject the target because it fails requests."""
        is_relapse = (
            self.recovered_at is not None
            and now - self.recovered_at < MAX_RETRY_DELAY_S
        )
        self.is_failing = True
        if is_relapse:
            self._double_retry_delay()
        else:
            self.retry_delay_s = MIN_RETRY_DELAY_S
        self._postpone(now)

    def clear(self) -> None:
        """Forget everything about the target."""
        self.is_failing = False
        self.recovered_at = self.trial_flow = None

    def record_failure(self, now: float) -> None:
        """Postpone the recovery of an ejected target that failed another request."""
        if now >= self.retry_at:
            self._double_retry_delay()
        self._postpone(now)

    def record_ignored(self, now: float) -> None:
        """Record that a balancer ignores failures, because too many targets fail."""
        self.ignored_until = now + IGNORED_S

    def is_trial_due(self, now: float) -> bool:
        """Return whether an ejected target may get a trial flow."""
        return now >= self.retry_at and (
            self.trial_flow is None or now - self.trial_at > TRIAL_TIMEOUT_S
        )

    def is_trial_overdue(self, now: float) -> bool:
        """Return whether a flow that is not idempotent may be the trial flow.

        Without this, a target whose service has no idempotent requests, or none for a
        long time, would never return.
        """
        return now - self.retry_at > MAX_RETRY_DELAY_S

    def start_trial(self, flow: FlowKey, now: float) -> None:
        """Record that a trial flow was admitted."""
        self.trial_flow, self.trial_at = flow, now

    def record_answer(self, flow: FlowKey, now: float) -> bool:
        """Record an answer of an ejected target.

        Returns
        -------
        bool
            Whether the target has recovered.
        """
        if flow != self.trial_flow:
            return False
        self.trial_flow = None
        self.trial_answers += 1
        if self.trial_answers < TRIAL_ANSWERS:
            return False
        self.is_failing = False
        self.recovered_at = now
        return True

    def _double_retry_delay(self) -> None:
        self.retry_delay_s = min(2 * self.retry_delay_s, MAX_RETRY_DELAY_S)

    def _postpone(self, now: float) -> None:
        self.retry_at = now + self.retry_delay_s
        self.trial_flow = None
        self.trial_answers = 0
