"""Rebalances connections between the agents of a service.

An agent with clearly more connections than the mean sends GOAWAY on a few idle ones, so
that their callers reconnect to agents with fewer connections.
"""

import asyncio
import math

from plantainyoke.agent._listener import Listener
from plantainyoke.agent._siblings import Siblings
from plantainyoke.telemetry import Metrics

REBALANCE_INTERVAL_S = 0.5
TOLERANCE = 1.1  # multiple of the mean above which connections are moved
MAX_MOVED_SHARE = 0.05
MINIMUM_EXCESS = 2


def count_excess_connections(connections: int, sibling_connections: list[int]) -> int:
    """Return the number of connections that an agent holds above its share.

    Parameters
    ----------
    connections : int
        Connections of this agent.
    sibling_connections : list of int
        Connections of each sibling that accepts new flows.

    Returns
    -------
    int
    """
    if not sibling_connections:
        return 0
    mean = (connections + sum(sibling_connections)) / (len(sibling_connections) + 1)
    excess = connections - math.ceil(mean * TOLERANCE)
    return excess if connections - mean >= MINIMUM_EXCESS else 0


class Rebalancer:
    """Asks a bounded number of callers to reconnect.

    Callers open the new connection before they close the old one, so no request is
    cut. The new flows go to the agents with fewer connections.

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
            await asyncio.sleep(REBALANCE_INTERVAL_S)
            self.move_excess(loop.time())

    def move_excess(self, now: float) -> int:
        """Send GOAWAY on some idle connections and return their number.

        Parameters
        ----------
        now : float
            Current loop time.

        Returns
        -------
        int
        """
        staying = [
            item for item in self.listener.open_connections if not item.is_leaving
        ]
        sibling_connections = [
            item.load.connections for item in self.siblings.get_eligible(now).values()
        ]
        excess = count_excess_connections(len(staying), sibling_connections)
        moved = min(excess, max(1, int(len(staying) * MAX_MOVED_SHARE)))
        idle = [item for item in staying if not item.tasks or item.has_only_watches]
        for connection in idle[:moved]:
            connection.send_goaway()
            self.metrics.count("connection.rebalanced")
        return len(idle[:moved])
