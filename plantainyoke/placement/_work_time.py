"""How long requests take at a target, from the outside."""

SAMPLE_WEIGHT = 1 / 16  # of the newest answer in the running mean


class WorkTimeEstimator:
    """Estimates a target's work for one request and the time to its answer.

    The bytes of a flow belong to its ends, so a request is taken to last from the
    caller's first data to the target's.

    Attributes
    ----------
    work_time_s : float
        Running mean of the work for a request, 0 before the first answer.
    """

    def __init__(self) -> None:
        self.work_time_s = 0.0

    def record_answer(self, elapsed_s: float, *, in_flight: int, slots: int) -> None:
        """Note an answer.

        Parameters
        ----------
        elapsed_s : float
            Time from the request to the answer.
        in_flight : int
            Requests at the target when this one came, itself included.
        slots : int
            Requests that the target runs at a time.
        """
        share = min(1.0, slots / max(1, in_flight))
        sample = elapsed_s * share
        if self.work_time_s:
            self.work_time_s += (sample - self.work_time_s) * SAMPLE_WEIGHT
        else:
            self.work_time_s = sample

    def estimate_answer_s(self, *, in_flight: int, slots: int) -> float:
        """Return the time to an answer for one more request."""
        return self.work_time_s * max(1.0, (in_flight + 1) / slots)
