"""Bounded dissemination of changes of belief.

References
----------
Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style
Process Group Membership Protocol", DSN 2002 (incarnation numbers, dissemination
count).
"""

import math
from collections.abc import Iterable

from plantainyoke.wire import Update

MAX_UPDATES_PER_MESSAGE = 40
COPIES_PER_DOUBLING = 3


class GossipQueue:
    """Changes that are still to be told, least told first."""

    def __init__(self) -> None:
        self.pending: dict[int, tuple[int, Update]] = {}

    def add(self, update: Update) -> None:
        """Queue a change; it replaces an older one about the same target."""
        self.pending[update.target] = (0, update)

    def take(self, peer_count: int) -> list[Update]:
        """Return the next batch and forget changes told often enough.

        Parameters
        ----------
        peer_count : int
            Number of processes among which changes spread.
        """
        copies = COPIES_PER_DOUBLING * max(1, math.ceil(math.log2(peer_count + 1)))
        batch = self._least_told()
        for target, (told, update) in batch:
            if told + 1 >= copies:
                del self.pending[target]
            else:
                self.pending[target] = (told + 1, update)
        return [update for _, (_, update) in batch]

    def _least_told(self) -> list[tuple[int, tuple[int, Update]]]:
        items: Iterable = self.pending.items()
        if len(self.pending) > MAX_UPDATES_PER_MESSAGE:
            items = sorted(items, key=lambda item: item[1][0])
        return list(items)[:MAX_UPDATES_PER_MESSAGE]
