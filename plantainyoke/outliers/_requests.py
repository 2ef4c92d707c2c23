"""Requests in flight that a target seems to have lost or does not answer at all.

Nothing here reads a clock: times are arguments.
"""

import msgspec

from plantainyoke.flows import FlowKey

OVERTAKEN_EXTRA = 2  # later requests that a slot's order of work may answer first
# Long requests take seven times the usual time; younger ones are not overdue.
OVERDUE_WORK_TIMES = 10
STALL_AIMS = 2  # multiples of the route's aim without any answer


class TrackedRequest(msgspec.Struct):
    """A request without an answer.

    Attributes
    ----------
    number : int
        Rises with each request of the target.
    started_at : float
        Time of the end of its first copy, in seconds.
    aim_s : float
        Time within which its caller wants the answer.
    overtaken : int
        Later requests that were answered.
    is_failed : bool
        Whether it was recorded as failed.
    """

    number: int
    started_at: float
    aim_s: float
    overtaken: int = 0
    is_failed: bool = False


class RequestTracker:
    """Finds requests that a target does not answer.

    Load pattern: a target hangs, or never answers some of its requests, and sends no
    reset. Requests of routes without an aim are not tracked, since they may wait for an
    event.

    Attributes
    ----------
    requests : dict of bytes to TrackedRequest
        By flow.
    started : int
        Requests so far.
    answered_at : float
        Time of the latest answer, in seconds.
    """

    def __init__(self) -> None:
        self.requests: dict[FlowKey, TrackedRequest] = {}
        self.started = 0
        self.answered_at = 0.0

    def start(self, flow: FlowKey, *, aim_s: float, now: float) -> None:
        """Track a request, unless this is a copy of a tracked one."""
        if flow not in self.requests:
            self.started += 1
            self.requests[flow] = TrackedRequest(self.started, now, aim_s)

    def end(self, flow: FlowKey) -> TrackedRequest | None:
        """Stop tracking a request, and return it."""
        return self.requests.pop(flow, None)

    def list_overtaken(
        self, answered: TrackedRequest, now: float, *, slots: int, work_time_s: float
    ) -> list[FlowKey]:
        """Record an answer, and return the flows of requests newly overdue by it.

        A full target rejects later requests at once, which overtake the queued ones
        and shorten the measured work time. None is overdue before its route's aim.
        """
        overtaken = []
        for flow, request in self.requests.items():
            if request.number > answered.number or request.is_failed:
                continue
            request.overtaken += 1
            limit_s = max(request.aim_s, OVERDUE_WORK_TIMES * work_time_s)
            if (
                request.overtaken >= slots + OVERTAKEN_EXTRA
                and now - request.started_at > limit_s
            ):
                request.is_failed = True
                overtaken.append(flow)
        return overtaken

    def list_stalled(self, now: float, *, work_time_s: float) -> list[FlowKey]:
        """Return the flows of requests since which the target has answered nothing."""
        stalled = []
        for flow, request in self.requests.items():
            limit_s = max(STALL_AIMS * request.aim_s, OVERDUE_WORK_TIMES * work_time_s)
            silent_s = now - max(request.started_at, self.answered_at)
            if silent_s > limit_s and not request.is_failed:
                request.is_failed = True
                stalled.append(flow)
        return stalled
