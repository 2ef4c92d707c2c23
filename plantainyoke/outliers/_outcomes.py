"""Outcomes of a target's latest requests, and what they prove about the target.

Nothing here reads a clock: times are arguments.
"""

from collections import deque
from enum import IntEnum
from typing import NamedTuple

WINDOW_S = 2.0  # older outcomes say little about the target's present state
# Failures that distinguish a fault from a single event.
MIN_FAILURES = 2
# Resets by the target that prove it impaired, so that its idle flows may be reset.
MIN_PROOF_RESETS = 3
MIN_FAILURE_SHARE = 0.2  # of the outcomes considered
# Latest outcomes per slot that are considered. With all outcomes of 2 s, a target that
# answered 40 requests before its fault would lose 10 requests before it is detected.
OUTCOMES_PER_FAILURE = 5
# The latest reset has to be at most this old when an idle flow is reset, so that
# resets end soon after the target's fault does.
PROOF_AGE_S = 1.0


class OutcomeKind(IntEnum):
    """How a request ended."""

    ANSWERED = 0
    RESET_BY_TARGET = 1
    OVERTAKEN = 2  # several later requests were answered
    STALLED = 3  # the target answers nothing at all


class Outcome(NamedTuple):
    """Outcome of one request.

    Attributes
    ----------
    at : float
        Time at which the outcome was known, in seconds.
    kind : OutcomeKind
    """

    at: float
    kind: int


class OutcomeWindow:
    """Outcomes of a target's requests within the last `WINDOW_S`.

    Load pattern: one in seven targets resets 46 % of its requests while its health
    check passes. Two failures among the latest ten outcomes are far above what a
    healthy target shows, which is none.

    Attributes
    ----------
    outcomes : deque of Outcome
        The oldest first, at most as many as a decision considers.
    """

    def __init__(self) -> None:
        self.outcomes: deque[Outcome] = deque()

    def record(self, kind: int, now: float, *, slots: int) -> None:
        """Add the outcome of a request."""
        self.outcomes.append(Outcome(now, kind))
        limit = _count_considered(MIN_PROOF_RESETS, slots)
        while len(self.outcomes) > limit:
            self.outcomes.popleft()

    @property
    def reset_at(self) -> float:
        """Time of the latest reset by the target, 0 if there is none."""
        for outcome in reversed(self.outcomes):
            if outcome.kind == OutcomeKind.RESET_BY_TARGET:
                return outcome.at
        return 0.0

    def clear(self) -> None:
        """Forget all outcomes."""
        self.outcomes.clear()

    def is_failing(self, now: float, *, slots: int) -> bool:
        """Return whether the target fails requests."""
        considered = self._list_considered(MIN_FAILURES, now, slots)
        failures = sum(outcome.kind != OutcomeKind.ANSWERED for outcome in considered)
        return (
            failures >= MIN_FAILURES and failures >= len(considered) * MIN_FAILURE_SHARE
        )

    def proves_impaired(self, now: float, *, slots: int) -> bool:
        """Return whether resets by the target prove that it is impaired now.

        Only then may the agent reset the target's idle flows.
        """
        considered = self._list_considered(MIN_PROOF_RESETS, now, slots)
        resets = [
            outcome.at
            for outcome in considered
            if outcome.kind == OutcomeKind.RESET_BY_TARGET
        ]
        return (
            len(resets) >= MIN_PROOF_RESETS
            and len(resets) >= len(considered) * MIN_FAILURE_SHARE
            and now - resets[-1] <= PROOF_AGE_S
        )

    def _list_considered(self, failures: int, now: float, slots: int) -> list[Outcome]:
        count = _count_considered(failures, slots)
        latest = list(self.outcomes)[-count:]
        return [outcome for outcome in latest if now - outcome.at <= WINDOW_S]


def _count_considered(failures: int, slots: int) -> int:
    return failures * OUTCOMES_PER_FAILURE * max(1, slots)
