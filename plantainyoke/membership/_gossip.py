"""Queue of agent status changes that a balancer spreads by gossip.

Each change is sent a number of times that grows with the logarithm of the number
of processes, so the amount of gossip per change is bounded.

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
SENDS_PER_DOUBLING = 3


class GossipQueue:
    """Changes that are still to be sent, the newest and least often sent first.

    Attributes
    ----------
    pending : OrderedDict of int to (int, Update)
        Number of messages that contained the change, and the change, by packed
        address of the agent.
    """

    def __init__(self) -> None:
        self.pending: OrderedDict[int, tuple[int, Update]] = OrderedDict()

    def add(self, update: Update) -> None:
        """Queue a change; it replaces an older one of the same agent."""
        self.pending[update.target] = (0, update)
        self.pending.move_to_end(update.target, last=False)

    def take_batch(self, peer_count: int) -> list[Update]:
        """Return the next batch and remove changes that were sent often enough.

        Parameters
        ----------
        peer_count : int
            Number of processes among which changes spread.

        Returns
        -------
        list of Update
            At most ``MAX_UPDATES_PER_MESSAGE`` changes.
        """
        max_sends = SENDS_PER_DOUBLING * max(1, math.ceil(math.log2(peer_count + 1)))
        batch = []
        for _ in range(min(MAX_UPDATES_PER_MESSAGE, len(self.pending))):
            target, (sent_count, update) = self.pending.popitem(last=False)
            batch.append((target, sent_count + 1, update))
        for target, sent_count, update in batch:
            if sent_count < max_sends:
                self.pending[target] = (sent_count, update)
        return [update for _, _, update in batch]
