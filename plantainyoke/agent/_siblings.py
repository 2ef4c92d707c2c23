"""The other agents of a service, with the load that they last reported.

Siblings report state and load in answers to probes. The dispatcher and the listener use
them to choose where to relay a request or pass a new flow on to.
"""

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
        Latest answer to a probe.
    answered_at : float
        Loop time of that answer; minus infinity if the sibling has not answered
        since it was added or was last unreachable.
    relayed : int
        Requests relayed to the sibling since that answer.
    passed_on : int
        New flows passed on to the sibling since that answer.
    """

    load: ProbeAck | None = None
    answered_at: float = float("-inf")
    relayed: int = 0
    passed_on: int = 0


class Siblings:
    """Chooses siblings by the load that they last reported.

    Parameters
    ----------
    address : int
        Packed address of this agent.
    is_peer_allowed : callable
        Returns whether packets may be sent to a packed address.
    rng : random.Random
        Breaks ties between siblings of equal load.

    Attributes
    ----------
    members : dict of int to Sibling
        Siblings by packed address, ``MAX_SIBLINGS`` at most.
    """

    def __init__(
        self, address: int, is_peer_allowed: Callable[[int], bool], rng: random.Random
    ) -> None:
        self.address = address
        self.is_peer_allowed = is_peer_allowed
        self.rng = rng
        self.members: dict[int, Sibling] = {}

    def apply(self, service: Service) -> None:
        """Replace the siblings by those of a configuration, keeping known loads."""
        others = [item.agent for item in service.targets if item.agent != self.address]
        if len(others) > MAX_SIBLINGS:
            encoded = [agent.to_bytes(ADDRESS_BYTES, "big") for agent in others]
            key = self.address.to_bytes(ADDRESS_BYTES, "big")
            ranked = rank_by_rendezvous(key, encoded)[:MAX_SIBLINGS]
            others = [int.from_bytes(item, "big") for item in ranked]
        self.members = {agent: self.members.get(agent, Sibling()) for agent in others}

    def record_probe_ack(self, agent: int, load: ProbeAck, now: float) -> None:
        """Record the state and load that a sibling reports."""
        sibling = self.members.get(agent)
        if sibling is not None:
            sibling.load = load
            sibling.answered_at = now
            sibling.relayed = 0
            sibling.passed_on = 0

    def record_failure(self, agent: int) -> None:
        """Make an unreachable sibling ineligible until it answers again."""
        sibling = self.members.get(agent)
        if sibling is not None:
            sibling.answered_at = float("-inf")

    def get_eligible(self, now: float) -> dict[int, Sibling]:
        """Return the siblings that answered recently and accept new work."""
        return {
            agent: sibling
            for agent, sibling in self.members.items()
            if now - sibling.answered_at < LOAD_VALID_S
            and sibling.load.state not in (TargetState.LEAVING, TargetState.DOWN)
            and self.is_peer_allowed(agent)
        }

    def choose(
        self, now: float, *, exclude: set[int], needs_free_slot: bool
    ) -> int | None:
        """Return the sibling with the least work per slot, None if none qualifies.

        Parameters
        ----------
        now : float
            Current loop time.
        exclude : set of int
            Packed addresses of siblings to leave out.
        needs_free_slot : bool
            Whether the sibling must be able to start a request at once.

        Returns
        -------
        int or None
            Packed address.
        """
        scored = []
        for agent, sibling in self.get_eligible(now).items():
            if agent in exclude:
                continue
            load = sibling.load
            work = load.in_flight + load.queued + sibling.relayed
            if needs_free_slot and work >= load.limit:
                continue
            scored.append((work / max(1, load.limit), self.rng.random(), agent))
        return min(scored)[2] if scored else None

    def compute_mean_rate(self, now: float, local_rate: float) -> float:
        """Return the mean served rate of this agent and its warm siblings.

        Parameters
        ----------
        now : float
            Current loop time.
        local_rate : float
            Requests per second served by the upstream of this agent.

        Returns
        -------
        float
            Requests per second.
        """
        rates = [
            sibling.load.served_rate
            for sibling in self.get_eligible(now).values()
            if sibling.load.state in WARM_STATES
        ]
        return (local_rate + sum(rates)) / (len(rates) + 1)

    def choose_least_served(self, now: float, below_rate: float) -> int | None:
        """Return the warm sibling with a free slot and the lowest served rate.

        Parameters
        ----------
        now : float
            Current loop time.
        below_rate : float
            Requests per second that the sibling's rate must be below.

        Returns
        -------
        int or None
            Packed address, None if no sibling qualifies.
        """
        scored = [
            (sibling.load.served_rate + sibling.relayed / LOAD_VALID_S, agent)
            for agent, sibling in self.get_eligible(now).items()
            if sibling.load.state is TargetState.SERVING
            and sibling.load.in_flight + sibling.relayed < sibling.load.limit
        ]
        rate, agent = min(scored, default=(below_rate, None))
        return agent if rate < below_rate else None

    def record_relayed(self, agent: int) -> None:
        """Count a request relayed to a sibling since its last answer."""
        self.members[agent].relayed += 1

    def get_connection_count(self, agent: int, now: float) -> int | None:
        """Return the connections of an eligible sibling, None for any other."""
        sibling = self.get_eligible(now).get(agent)
        return None if sibling is None else sibling.load.connections + sibling.passed_on

    def record_passed_on(self, agent: int) -> None:
        """Count a new flow passed on to an agent since its last answer."""
        sibling = self.members.get(agent)
        if sibling is not None:
            sibling.passed_on += 1
