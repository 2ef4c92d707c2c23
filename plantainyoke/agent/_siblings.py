"""What an agent knows of the other agents of its service."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from plantainyoke.configuration import Service
from plantainyoke.hashing import (
    rank_by_rendezvous,
)
from plantainyoke.wire import ProbeAck, TargetState

MAX_SIBLINGS = 8
LOAD_VALID_S = 1.5
ADDRESS_BYTES = 6
WARM_STATES = (TargetState.SERVING, TargetState.FULL)


@dataclass(slots=True)
class Sibling:
    """One other agent of the service.

    Attributes
    ----------
    load : ProbeAck, optional
        Its latest answer.
    answered_at : float
        Loop time of that answer.
    sent, passed : int
        Requests relayed and new flows passed on to it since that answer.
    """

    load: ProbeAck | None = None
    answered_at: float = float("-inf")
    sent: int = 0
    passed: int = 0


class Siblings:
    """Chooses siblings by the load that they last reported.

    Parameters
    ----------
    own : int
        Packed address of this agent.
    is_peer_allowed : callable
        Tells whether packets may be sent to a packed address.
    rng : random.Random
    """

    def __init__(
        self, own: int, is_peer_allowed: Callable[[int], bool], rng: random.Random
    ) -> None:
        self.own = own
        self.is_peer_allowed = is_peer_allowed
        self.rng = rng
        self.members: dict[int, Sibling] = {}

    def apply(self, service: Service) -> None:
        """Take over the targets of a configuration."""
        others = [item.agent for item in service.targets if item.agent != self.own]
        if len(others) > MAX_SIBLINGS:
            encoded = [agent.to_bytes(ADDRESS_BYTES, "big") for agent in others]
            key = self.own.to_bytes(ADDRESS_BYTES, "big")
            ranked = rank_by_rendezvous(key, encoded)[:MAX_SIBLINGS]
            others = [int.from_bytes(item, "big") for item in ranked]
        self.members = {agent: self.members.get(agent, Sibling()) for agent in others}

    def record_answer(self, agent: int, load: ProbeAck, now: float) -> None:
        """Note a sibling's state and load."""
        sibling = self.members.get(agent)
        if sibling is not None:
            sibling.load = load
            sibling.answered_at = now
            sibling.sent = 0
            sibling.passed = 0

    def record_failure(self, agent: int) -> None:
        """Forget the load of a sibling that could not be reached."""
        sibling = self.members.get(agent)
        if sibling is not None:
            sibling.answered_at = float("-inf")

    def usable(self, now: float) -> dict[int, Sibling]:
        """Return the siblings that answered lately and take new work."""
        return {
            agent: sibling
            for agent, sibling in self.members.items()
            if now - sibling.answered_at < LOAD_VALID_S
            and sibling.load.state not in (TargetState.LEAVING, TargetState.DOWN)
            and self.is_peer_allowed(agent)
        }

    def choose(self, now: float, *, exclude: set[int], need_room: bool) -> int | None:
        """Return the sibling with the least work per slot, None if none fits.

        Parameters
        ----------
        now : float
        exclude : set of int
        need_room : bool
            Whether it must be able to start a request at once.
        """
        scored = []
        for agent, sibling in self.usable(now).items():
            if agent in exclude:
                continue
            load = sibling.load
            work = load.in_flight + load.queued + sibling.sent
            if need_room and work >= load.limit:
                continue
            scored.append((work / max(1, load.limit), self.rng.random(), agent))
        return min(scored)[2] if scored else None

    def mean_rate(self, now: float, own_rate: float) -> float:
        """Return the mean served rate of this agent and its warm siblings."""
        rates = [
            sibling.load.served_rate
            for sibling in self.usable(now).values()
            if sibling.load.state in WARM_STATES
        ]
        return (own_rate + sum(rates)) / (len(rates) + 1)

    def least_served(self, now: float, below: float) -> int | None:
        """Return the warm sibling with room that serves least, None if none fits.

        Parameters
        ----------
        now : float
        below : float
            Served rate that the sibling must be below.
        """
        scored = [
            (sibling.load.served_rate + sibling.sent / LOAD_VALID_S, agent)
            for agent, sibling in self.usable(now).items()
            if sibling.load.state is TargetState.SERVING
            and sibling.load.in_flight + sibling.sent < sibling.load.limit
        ]
        rate, agent = min(scored, default=(below, None))
        return agent if rate < below else None

    def record_sent(self, agent: int) -> None:
        """Count a request relayed since the last answer."""
        self.members[agent].sent += 1

    def connections_of(self, agent: int, now: float) -> int | None:
        """Return the connections of a usable sibling, None if unknown."""
        sibling = self.usable(now).get(agent)
        return None if sibling is None else sibling.load.connections + sibling.passed

    def record_passed(self, agent: int) -> None:
        """Count a new flow passed on since the last answer."""
        sibling = self.members.get(agent)
        if sibling is not None:
            sibling.passed += 1
