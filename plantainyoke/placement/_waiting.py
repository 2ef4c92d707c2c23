"""First packets that wait at an agent until its target can serve their flows.

Load pattern: after an outage all callers open flows within a fraction of a second, more
than the targets can answer in time. A caller whose flow is reset comes back within
milliseconds and gives up after few attempts, so resets do not spread this load. The
first packets wait instead, as long as their callers wait for them, and are admitted in
the order in which that serves most callers.
"""

import msgspec

from plantainyoke.flows import FlowKey, HalfOpenFlow

MAX_WAITING_FLOWS = 256  # about 100 KB


class WaitingFlow(msgspec.Struct):
    """A flow whose first packet waits.

    Attributes
    ----------
    half_open : HalfOpenFlow
        State with which the flow is admitted.
    in_time_until : float
        Time up to which the flow has to be admitted to be answered in time.
    expires_at : float
        Time from which admission is useless because the caller gives up before the
        answer.
    priority : int
        Priority of the route, 0 is the highest.
    """

    half_open: HalfOpenFlow
    in_time_until: float
    expires_at: float
    priority: int = 0

    def rank(self, now: float) -> tuple[bool, int, float]:
        """Return the key by which waiting flows are ordered; the lowest is first.

        Flows that can still be answered in time come first: the late ones among them
        would otherwise make all others late, too. Within both groups the order is by
        priority and then by the time that is left.
        """
        is_late = now > self.in_time_until
        return is_late, self.priority, self.expires_at


class WaitingRoom:
    """Flows that wait for admission to one target.

    Attributes
    ----------
    flows : dict of bytes to WaitingFlow
    """

    def __init__(self) -> None:
        self.flows: dict[FlowKey, WaitingFlow] = {}

    def __len__(self) -> int:
        return len(self.flows)

    @property
    def is_full(self) -> bool:
        """Whether no further flow may wait."""
        return len(self.flows) >= MAX_WAITING_FLOWS

    def add(self, flow: FlowKey, waiting: WaitingFlow) -> None:
        """Add a flow."""
        self.flows[flow] = waiting

    def count_ahead(self, waiting: WaitingFlow, now: float) -> int:
        """Return the number of flows that are admitted before a flow."""
        rank = waiting.rank(now)
        return sum(other.rank(now) <= rank for other in self.flows.values())

    def find_first(self, now: float) -> FlowKey | None:
        """Return the flow to admit next, None if none waits."""
        return min(
            self.flows, key=lambda flow: self.flows[flow].rank(now), default=None
        )

    def remove(self, flow: FlowKey) -> WaitingFlow | None:
        """Remove and return a flow, None if it does not wait."""
        return self.flows.pop(flow, None)

    def expire(self, now: float) -> list[tuple[FlowKey, WaitingFlow]]:
        """Remove and return the flows whose callers give up before an answer."""
        expired = [
            (flow, waiting)
            for flow, waiting in self.flows.items()
            if now >= waiting.expires_at
        ]
        for flow, _ in expired:
            del self.flows[flow]
        return expired
