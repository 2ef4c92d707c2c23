"""Moves connections from an agent that holds more than its share."""

import asyncio
import math

from plantainyoke.agent._listener import Listener
from plantainyoke.agent._siblings import Siblings
from plantainyoke.telemetry import Metrics

INTERVAL_S = 0.5
TOLERANCE = 1.1  # share of the mean above which connections are moved
MOVED_SHARE = 0.05
MINIMUM_EXCESS = 2


def excess_connections(own: int, others: list[int]) -> int:
    """Return how many connections an agent holds above its share.

    Parameters
    ----------
    own : int
    others : list of int
        Connections of the siblings that take new flows.
    """
    if not others:
        return 0
    mean = (own + sum(others)) / (len(others) + 1)
    excess = own - math.ceil(mean * TOLERANCE)
    return excess if own - mean >= MINIMUM_EXCESS else 0


class Rebalancer:
    """Asks a bounded number of callers to reconnect.

    Callers move make-before-break, so nothing is cut; their new flows go to
    the agents with fewer connections.

    Parameters
    ----------
    listener : Listener
    siblings : Siblings
    metrics : Metrics
    """

    def __init__(
        self, listener: Listener, siblings: Siblings, metrics: Metrics
    ) -> None:
        self.listener = listener
        self.siblings = siblings
        self.metrics = metrics

    async def run(self) -> None:
        """Rebalance at a fixed interval until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(INTERVAL_S)
            self.move_excess(loop.time())

    def move_excess(self, now: float) -> int:
        """Send GOAWAY on some idle connections; return their number."""
        staying = [item for item in self.listener.open if not item.is_leaving]
        others = [item.load.connections for item in self.siblings.usable(now).values()]
        excess = excess_connections(len(staying), others)
        moved = min(excess, max(1, int(len(staying) * MOVED_SHARE)))
        idle = [item for item in staying if not item.tasks or item.has_only_watches]
        for connection in idle[:moved]:
            connection.send_goaway()
            self.metrics.count("connection.rebalanced")
        return len(idle[:moved])
