"""Estimate of a target's work time per request.

An agent cannot see inside a target. It derives the work time from the times of answers
and the number of requests in flight, and uses it to predict when one more request would
be answered.
"""

SAMPLE_WEIGHT = 1 / 16  # weight of the latest answer in the running mean
UNKNOWN_WORK_TIME_S = 0.05  # assumed before the first answer


class WorkTimeEstimator:
    """Estimates a target's work time per request and the time to its answer.

    The payload of a flow is opaque to the agent, so a request is taken to last from
    the caller's first data to the target's first data after it.

    Attributes
    ----------
    work_time_s : float
        Running mean of the work time of a request, 0 before the first answer.
    answered_at : float
        Time of the latest answer in seconds, 0 before the first one.
    """

    def __init__(self) -> None:
        self.work_time_s = 0.0
        self.answered_at = 0.0

    def record_answer(
        self, elapsed_s: float, *, in_flight: int, slots: int, now: float | None = None
    ) -> None:
        """Update the running mean with one answer.

        Load pattern: three in a hundred requests take seven times as long. A request
        behind one of them waits for what is left of it, so that a share of the elapsed
        time by the length of the queue misjudges both. With one slot, the work on a
        request that queued starts at the answer before it.

        Parameters
        ----------
        elapsed_s : float
            Time from the request to the answer.
        in_flight : int
            Requests at the target when this one arrived, including itself.
        slots : int
            Requests that the target runs at a time.
        now : float, optional
            Time of the answer in seconds. Without it the work on a request that queued
            is always taken as a share of the elapsed time.
        """
        share = min(1.0, slots / max(1, in_flight))
        sample = elapsed_s * share
        if now is not None:
            if slots == 1 and self.answered_at:
                sample = min(elapsed_s, now - self.answered_at)
            self.answered_at = now
        if self.work_time_s:
            self.work_time_s += (sample - self.work_time_s) * SAMPLE_WEIGHT
        else:
            self.work_time_s = sample

    def estimate_answer_s(self, *, in_flight: int, slots: int) -> float:
        """Return the expected time to the answer of one more request.

        Parameters
        ----------
        in_flight : int
            Requests at the target, without the additional one.
        slots : int
            Requests that the target runs at a time.

        Returns
        -------
        float
            Time in seconds.
        """
        work_time_s = self.work_time_s or UNKNOWN_WORK_TIME_S
        return work_time_s * max(1.0, (in_flight + 1) / slots)
