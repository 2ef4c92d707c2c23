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


class Evidence(Enum):
    """Evidence on which a belief rests."""

    NONE = "none"
    PROBES = "probes_unanswered"
    GOSSIP = "gossip"
    REFUTED = "refuted"


@dataclass(slots=True)
class AgentStatus:
    """What this process believes of one agent.

    Attributes
    ----------
    condition : Condition
    liveness : int
        Highest liveness number heard of.
    evidence : Evidence
    changed_at : float
        Loop time of the last change.
    forwards, forwarded_at : int, float
        First packets without any return since ``forwarded_at``.
    unanswered_probes : int
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
    evidence: Evidence = Evidence.NONE
    changed_at: float = 0.0
    forwards: int = 0
    forwarded_at: float = 0.0
    unanswered_probes: int = 0
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
        self.statuses: dict[int, AgentStatus] = {}
        self.urgent_agents: set[int] = set()
        self.resumed_at = float("-inf")

    def get_status(self, agent: int) -> AgentStatus:
        """Return the belief about an agent, a fresh one if unknown."""
        status = self.statuses.get(agent)
        if status is None:
            status = self.statuses[agent] = AgentStatus()
        return status

    def is_suspect(self, agent: int) -> bool:
        """Tell whether new flows should avoid an agent."""
        status = self.statuses.get(agent)
        return status is not None and status.condition is Condition.SUSPECT

    def list_suspects(self) -> dict[int, AgentStatus]:
        """Return the suspected agents."""
        return {
            agent: status
            for agent, status in self.statuses.items()
            if status.condition is Condition.SUSPECT
        }

    def record_forward(self, agent: int, now: float) -> None:
        """Note a first packet sent to an agent."""
        status = self.get_status(agent)
        if status.forwards == 0:
            status.forwarded_at = now
        status.forwards += 1
        overdue = now - status.forwarded_at > FORWARD_TIMEOUT_S
        if status.forwards >= UNANSWERED_FORWARDS and overdue:
            self.urgent_agents.add(agent)

    def record_reply(self, agent: int) -> None:
        """Note any authentic datagram from an agent."""
        status = self.statuses.get(agent)
        if status is None:
            return
        status.forwards = 0
        status.unanswered_probes = 0
        status.probe_sent_at = 0.0
        self.urgent_agents.discard(agent)

    def record_answer(self, agent: int, liveness: int, now: float) -> None:
        """Note a probe's answer; a raised liveness number refutes a suspicion."""
        self.record_reply(agent)
        status = self.get_status(agent)
        status.answered_at = now
        if liveness <= status.liveness:
            return
        status.liveness = liveness
        if status.condition is Condition.SUSPECT:
            self._change(agent, Condition.ALIVE, Evidence.REFUTED, now)
            self.announce(Update(agent, liveness, Condition.ALIVE))

    def record_probe(self, agent: int, now: float) -> None:
        """Note a probe sent, and judge the one before it."""
        status = self.get_status(agent)
        self._judge_probe(agent, status, now)
        if not status.probe_sent_at:
            status.probe_sent_at = now

    def expire_probes(self, now: float) -> None:
        """Judge probes that have waited for too long."""
        for agent in [*self.statuses]:
            self._judge_probe(agent, self.statuses[agent], now)

    def record_gossip(self, update: Update, now: float) -> bool:
        """Take over a change of belief; returns whether it was news.

        The higher liveness number wins; of equal ones, the suspicion. An agent
        that has just answered this process is asked again before it is
        suspected on hearsay.
        """
        status = self.get_status(update.target)
        if update.liveness < status.liveness:
            return False
        suspicion = update.condition is Condition.SUSPECT
        if suspicion and now - status.answered_at < HEARSAY_GRACE_S:
            status.hearsay = update.liveness
            self.urgent_agents.add(update.target)
            return False
        if update.liveness == status.liveness and not suspicion:
            return False
        status.liveness = update.liveness
        if update.condition is status.condition:
            return False
        self._change(update.target, update.condition, Evidence.GOSSIP, now)
        return True

    def get_suspected_liveness(self, agent: int) -> int:
        """Return the liveness number that an agent must raise, 0 if none."""
        status = self.get_status(agent)
        if status.condition is Condition.SUSPECT:
            return max(1, status.liveness)
        return status.hearsay if status.hearsay >= status.liveness else 0

    def reset_after_pause(self, now: float) -> None:
        """Forget unanswered probes after this process was paused."""
        self.resumed_at = now
        for status in self.statuses.values():
            status.forwards = 0
            status.unanswered_probes = 0
            status.probe_sent_at = 0.0

    def retain(self, known: Mapping[int, int]) -> None:
        """Drop beliefs about agents that left the configuration."""
        for agent in [agent for agent in self.statuses if agent not in known]:
            del self.statuses[agent]
            self.urgent_agents.discard(agent)

    def _judge_probe(self, agent: int, status: AgentStatus, now: float) -> None:
        if not status.probe_sent_at or now - status.probe_sent_at < PROBE_TIMEOUT_S:
            return
        status.probe_sent_at = 0.0
        if now - self.resumed_at < PAUSE_GRACE_S:
            return
        status.unanswered_probes += 1
        self.urgent_agents.add(agent)
        suspected = status.condition is Condition.SUSPECT
        if status.unanswered_probes >= PROBES_TO_SUSPECT and not suspected:
            self._change(agent, Condition.SUSPECT, Evidence.PROBES, now)
            self.announce(Update(agent, status.liveness, Condition.SUSPECT))

    def _change(self, agent, condition, evidence, now) -> None:
        status = self.statuses[agent]
        status.condition = condition
        status.evidence = evidence
        status.changed_at = now
