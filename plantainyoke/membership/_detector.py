"""Detection of failed agents by one balancer.

The detector marks an agent as suspect when consecutive probes of this process time
out, or when gossip from another balancer reports it. Suspicions carry the agent's
liveness number; the agent refutes a wrong one by raising that number.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum

from plantainyoke.wire import Condition, Update

FORWARDS_TO_PROBE = 2
FORWARD_TIMEOUT_S = 0.4
PROBE_TIMEOUT_S = 0.25
PROBES_TO_SUSPECT = 3
PAUSE_GRACE_S = 2.0
GOSSIP_GRACE_S = 1.5


class Evidence(Enum):
    """Evidence for the current condition of an agent."""

    NONE = "none"
    PROBES = "probes_unanswered"
    GOSSIP = "gossip"
    REFUTED = "refuted"


@dataclass(slots=True)
class AgentStatus:
    """Status of one agent as this process sees it.

    Attributes
    ----------
    condition : Condition
    liveness : int
        Highest liveness number received, from the agent or by gossip.
    evidence : Evidence
    changed_at : float
        Loop time of the last change of ``condition``, in seconds.
    unanswered_forwards : int
        First packets forwarded since the last datagram from the agent.
    first_forward_at : float
        Loop time of the first of them, in seconds.
    unanswered_probes : int
        Consecutive probes without an answer.
    probe_sent_at : float
        Loop time at which the unanswered probe was sent, in seconds; 0 if none.
    answered_at : float
        Loop time of the last probe answer to this process, in seconds.
    gossiped_liveness : int
        Liveness number of a gossiped suspicion that was not adopted because the
        agent had just answered this process.
    """

    condition: Condition = Condition.ALIVE
    liveness: int = 0
    evidence: Evidence = Evidence.NONE
    changed_at: float = 0.0
    unanswered_forwards: int = 0
    first_forward_at: float = 0.0
    unanswered_probes: int = 0
    probe_sent_at: float = 0.0
    answered_at: float = float("-inf")
    gossiped_liveness: int = 0


class FailureDetector:
    """Suspects agents that answer neither forwarded packets nor probes.

    A suspicion affects new flows only. Unanswered first packets only start probing;
    unanswered probes confirm the suspicion.

    Parameters
    ----------
    on_status_change : callable
        Called with each Update to send to other processes.

    Attributes
    ----------
    statuses : dict of int to AgentStatus
        Status by packed agent address.
    urgent_agents : set of int
        Agents to probe soon, because packets or probes remain unanswered or
        because of gossip.
    resumed_at : float
        Loop time at which this process last resumed after a pause, in seconds.
    """

    def __init__(self, on_status_change: Callable[[Update], None]) -> None:
        self.on_status_change = on_status_change
        self.statuses: dict[int, AgentStatus] = {}
        self.urgent_agents: set[int] = set()
        self.resumed_at = float("-inf")

    def get_status(self, agent: int) -> AgentStatus:
        """Return the status of an agent, which is created if it is unknown."""
        status = self.statuses.get(agent)
        if status is None:
            status = self.statuses[agent] = AgentStatus()
        return status

    def is_suspect(self, agent: int) -> bool:
        """Return whether new flows should avoid an agent."""
        status = self.statuses.get(agent)
        return status is not None and status.condition is Condition.SUSPECT

    def list_suspects(self) -> dict[int, AgentStatus]:
        """Return the status of each suspected agent by packed address."""
        return {
            agent: status
            for agent, status in self.statuses.items()
            if status.condition is Condition.SUSPECT
        }

    def record_forward(self, agent: int, now: float) -> None:
        """Record a first packet forwarded to an agent; request a probe if overdue."""
        status = self.get_status(agent)
        if status.unanswered_forwards == 0:
            status.first_forward_at = now
        status.unanswered_forwards += 1
        is_overdue = now - status.first_forward_at > FORWARD_TIMEOUT_S
        if status.unanswered_forwards >= FORWARDS_TO_PROBE and is_overdue:
            self.urgent_agents.add(agent)

    def record_reply(self, agent: int) -> None:
        """Record an authentic datagram from an agent."""
        status = self.statuses.get(agent)
        if status is None:
            return
        status.unanswered_forwards = 0
        status.unanswered_probes = 0
        status.probe_sent_at = 0.0
        self.urgent_agents.discard(agent)

    def record_probe_ack(self, agent: int, liveness: int, now: float) -> None:
        """Record a probe's answer; a raised liveness number refutes a suspicion."""
        self.record_reply(agent)
        status = self.get_status(agent)
        status.answered_at = now
        if liveness <= status.liveness:
            return
        status.liveness = liveness
        if status.condition is Condition.SUSPECT:
            self._set_condition(agent, Condition.ALIVE, Evidence.REFUTED, now)
            self.on_status_change(Update(agent, liveness, Condition.ALIVE))

    def record_probe(self, agent: int, now: float) -> None:
        """Record a sent probe, after checking the previous one for a timeout."""
        status = self.get_status(agent)
        self._check_probe_timeout(agent, status, now)
        if not status.probe_sent_at:
            status.probe_sent_at = now

    def expire_probes(self, now: float) -> None:
        """Count the probes that timed out and suspect agents accordingly."""
        for agent in [*self.statuses]:
            self._check_probe_timeout(agent, self.statuses[agent], now)

    def record_gossip(self, update: Update, now: float) -> bool:
        """Merge a status change received by gossip.

        The higher liveness number wins; between equal numbers, the suspicion wins.
        If the agent has just answered this process, it is probed again before a
        gossiped suspicion is adopted.

        Returns
        -------
        bool
            Whether the agent's condition changed.
        """
        status = self.get_status(update.target)
        if update.liveness < status.liveness:
            return False
        is_suspicion = update.condition is Condition.SUSPECT
        if is_suspicion and now - status.answered_at < GOSSIP_GRACE_S:
            status.gossiped_liveness = update.liveness
            self.urgent_agents.add(update.target)
            return False
        if update.liveness == status.liveness and not is_suspicion:
            return False
        status.liveness = update.liveness
        if update.condition is status.condition:
            return False
        self._set_condition(update.target, update.condition, Evidence.GOSSIP, now)
        return True

    def get_suspected_liveness(self, agent: int) -> int:
        """Return the liveness number that the agent must exceed, 0 if none."""
        status = self.get_status(agent)
        if status.condition is Condition.SUSPECT:
            return max(1, status.liveness)
        return (
            status.gossiped_liveness
            if status.gossiped_liveness >= status.liveness
            else 0
        )

    def reset_after_pause(self, now: float) -> None:
        """Discard unanswered packets and probes after a pause of this process."""
        self.resumed_at = now
        for status in self.statuses.values():
            status.unanswered_forwards = 0
            status.unanswered_probes = 0
            status.probe_sent_at = 0.0

    def retain(self, configured: Mapping[int, int]) -> None:
        """Remove the agents that left the configuration.

        Parameters
        ----------
        configured : mapping of int to int
            Zone by packed address of the configured agents.
        """
        for agent in [agent for agent in self.statuses if agent not in configured]:
            del self.statuses[agent]
            self.urgent_agents.discard(agent)

    def _check_probe_timeout(self, agent: int, status: AgentStatus, now: float) -> None:
        if not status.probe_sent_at or now - status.probe_sent_at < PROBE_TIMEOUT_S:
            return
        status.probe_sent_at = 0.0
        if now - self.resumed_at < PAUSE_GRACE_S:
            return
        status.unanswered_probes += 1
        self.urgent_agents.add(agent)
        is_suspect = status.condition is Condition.SUSPECT
        if status.unanswered_probes >= PROBES_TO_SUSPECT and not is_suspect:
            self._set_condition(agent, Condition.SUSPECT, Evidence.PROBES, now)
            self.on_status_change(Update(agent, status.liveness, Condition.SUSPECT))

    def _set_condition(self, agent, condition, evidence, now) -> None:
        status = self.statuses[agent]
        status.condition = condition
        status.evidence = evidence
        status.changed_at = now
