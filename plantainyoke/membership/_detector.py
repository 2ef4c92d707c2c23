"""Which agents are suspected, on what evidence."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum

from plantainyoke.wire import Condition, Update

UNANSWERED_FORWARDS = 2
FORWARD_TIMEOUT_S = 0.4
PROBE_TIMEOUT_S = 0.25
PROBES_TO_SUSPECT = 3
PAUSE_GRACE_S = 2.0
HEARSAY_GRACE_S = 1.5


class Observation(Enum):
    """Evidence on which a belief rests."""

    NONE = "none"
    PROBES = "probes_unanswered"
    GOSSIP = "gossip"
    REFUTED = "refuted"


@dataclass(slots=True)
class Belief:
    """What this process believes of one agent.

    Attributes
    ----------
    condition : Condition
    liveness : int
        Highest liveness number heard of.
    evidence : Observation
    since : float
        Loop time of the last change.
    forwards, forwarded_at : int, float
        First packets without any return since ``forwarded_at``.
    probes : int
        Consecutive probes without an answer.
    probe_sent_at : float
        Loop time of the probe that waits for its answer; 0 if none.
    answered_at : float
        Loop time of the last answer to this process.
    hearsay : int
        Liveness number of a suspicion that was not taken over.
    """

    condition: Condition = Condition.ALIVE
    liveness: int = 0
    evidence: Observation = Observation.NONE
    since: float = 0.0
    forwards: int = 0
    forwarded_at: float = 0.0
    probes: int = 0
    probe_sent_at: float = 0.0
    answered_at: float = float("-inf")
    hearsay: int = 0


class FailureDetector:
    """Suspects agents that answer neither forwards nor probes.

    A suspicion bears on new flows only. First packets without a return only
    start probing; unanswered probes confirm the suspicion.

    Parameters
    ----------
    announce : callable
        Called with each Update that other processes should hear.
    """

    def __init__(self, announce: Callable[[Update], None]) -> None:
        self.announce = announce
        self.beliefs: dict[int, Belief] = {}
        self.urgent: set[int] = set()
        self.resumed_at = float("-inf")

    def belief(self, agent: int) -> Belief:
        """Return the belief about an agent, a fresh one if unknown."""
        belief = self.beliefs.get(agent)
        if belief is None:
            belief = self.beliefs[agent] = Belief()
        return belief

    def is_suspect(self, agent: int) -> bool:
        """Tell whether new flows should avoid an agent."""
        belief = self.beliefs.get(agent)
        return belief is not None and belief.condition is Condition.SUSPECT

    def suspects(self) -> dict[int, Belief]:
        """Return the suspected agents."""
        return {
            agent: belief
            for agent, belief in self.beliefs.items()
            if belief.condition is Condition.SUSPECT
        }

    def record_forward(self, agent: int, now: float) -> None:
        """Note a first packet sent to an agent."""
        belief = self.belief(agent)
        if belief.forwards == 0:
            belief.forwarded_at = now
        belief.forwards += 1
        overdue = now - belief.forwarded_at > FORWARD_TIMEOUT_S
        if belief.forwards >= UNANSWERED_FORWARDS and overdue:
            self.urgent.add(agent)

    def record_return(self, agent: int) -> None:
        """Note any authentic datagram from an agent."""
        belief = self.beliefs.get(agent)
        if belief is None:
            return
        belief.forwards = 0
        belief.probes = 0
        belief.probe_sent_at = 0.0
        self.urgent.discard(agent)

    def record_answer(self, agent: int, liveness: int, now: float) -> None:
        """Note a probe's answer; a raised liveness number refutes a suspicion."""
        self.record_return(agent)
        belief = self.belief(agent)
        belief.answered_at = now
        if liveness <= belief.liveness:
            return
        belief.liveness = liveness
        if belief.condition is Condition.SUSPECT:
            self._change(agent, Condition.ALIVE, Observation.REFUTED, now)
            self.announce(Update(agent, liveness, Condition.ALIVE))

    def record_probe(self, agent: int, now: float) -> None:
        """Note a probe sent, and judge the one before it."""
        belief = self.belief(agent)
        self._judge_probe(agent, belief, now)
        if not belief.probe_sent_at:
            belief.probe_sent_at = now

    def expire(self, now: float) -> None:
        """Judge probes that have waited for too long."""
        for agent in [*self.beliefs]:
            self._judge_probe(agent, self.beliefs[agent], now)

    def record_gossip(self, update: Update, now: float) -> bool:
        """Take over a change of belief; returns whether it was news.

        The higher liveness number wins; of equal ones, the suspicion. An agent
        that has just answered this process is asked again before it is
        suspected on hearsay.
        """
        belief = self.belief(update.target)
        if update.incarnation < belief.liveness:
            return False
        suspicion = update.condition is Condition.SUSPECT
        if suspicion and now - belief.answered_at < HEARSAY_GRACE_S:
            belief.hearsay = update.incarnation
            self.urgent.add(update.target)
            return False
        if update.incarnation == belief.liveness and not suspicion:
            return False
        belief.liveness = update.incarnation
        if update.condition is belief.condition:
            return False
        self._change(update.target, update.condition, Observation.GOSSIP, now)
        return True

    def suspected_at(self, agent: int) -> int:
        """Return the liveness number that an agent must raise, 0 if none."""
        belief = self.belief(agent)
        if belief.condition is Condition.SUSPECT:
            return max(1, belief.liveness)
        return belief.hearsay if belief.hearsay >= belief.liveness else 0

    def resume(self, now: float) -> None:
        """Forget unanswered probes after this process was paused."""
        self.resumed_at = now
        for belief in self.beliefs.values():
            belief.forwards = 0
            belief.probes = 0
            belief.probe_sent_at = 0.0

    def forget(self, known: Mapping[int, int]) -> None:
        """Drop beliefs about agents that left the configuration."""
        for agent in [agent for agent in self.beliefs if agent not in known]:
            del self.beliefs[agent]
            self.urgent.discard(agent)

    def _judge_probe(self, agent: int, belief: Belief, now: float) -> None:
        if not belief.probe_sent_at or now - belief.probe_sent_at < PROBE_TIMEOUT_S:
            return
        belief.probe_sent_at = 0.0
        if now - self.resumed_at < PAUSE_GRACE_S:
            return
        belief.probes += 1
        self.urgent.add(agent)
        suspected = belief.condition is Condition.SUSPECT
        if belief.probes >= PROBES_TO_SUSPECT and not suspected:
            self._change(agent, Condition.SUSPECT, Observation.PROBES, now)
            self.announce(Update(agent, belief.liveness, Condition.SUSPECT))

    def _change(self, agent, condition, evidence, now) -> None:
        belief = self.beliefs[agent]
        belief.condition = condition
        belief.evidence = evidence
        belief.since = now
