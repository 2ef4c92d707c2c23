"""Bounded dissemination of changes of belief.

References
----------
Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style
Process Group Membership Protocol", DSN 2002 (incarnation numbers, dissemination
count).
"""

import math
from collections import OrderedDict

from plantainyoke.wire import Update

MAX_UPDATES_PER_MESSAGE = 40
COPIES_PER_DOUBLING = 3


class GossipQueue:
    """Changes that are still to be told, the newest and least told first.

    Attributes
    ----------
    pending : OrderedDict of int to (int, Update)
        How often each change was told, and the change, by target.
    """

    def __init__(self) -> None:
        self.pending: OrderedDict[int, tuple[int, Update]] = OrderedDict()

    def add(self, update: Update) -> None:
        """Queue a change; it replaces an older one about the same target."""
        self.pending[update.target] = (0, update)
        self.pending.move_to_end(update.target, last=False)

    def take_batch(self, peer_count: int) -> list[Update]:
        """Return the next batch and forget changes told often enough.

        Parameters
        ----------
        peer_count : int
            Number of processes among which changes spread.
        """
        copies = COPIES_PER_DOUBLING * max(1, math.ceil(math.log2(peer_count + 1)))
        batch = []
        for _ in range(min(MAX_UPDATES_PER_MESSAGE, len(self.pending))):
            target, (told, update) = self.pending.popitem(last=False)
            batch.append((target, told + 1, update))
        for target, told, update in batch:
            if told < copies:
                self.pending[target] = (told, update)
        return [update for _, _, update in batch]
