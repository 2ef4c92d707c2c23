"""What a balancer knows of each agent from its own exchanges with it."""

import msgspec

from plantainyoke.flows import FlowRefusal, Load

AGENT_SILENT_S = 5.0  # then an agent that did not answer is tried again
LEAVING_S = 3.0  # restart of an agent whose target stays
REFUSAL_KEPT_S = 0.5  # two reports: a refusal that was not repeated has passed


class AgentState(msgspec.Struct):
    """One agent.

    Attributes
    ----------
    load : Load
    heard_at : float
    placed_since_report : int
        Flows placed there since its last report.
    refused_at : float
    leaving_until : float
    silent_until : float
        Time up to which the agent counts as silent unless it is heard.
    """

    load: Load = msgspec.field(default_factory=Load)
    heard_at: float = 0.0
    placed_since_report: int = 0
    refused_at: float = 0.0
    leaving_until: float = 0.0
    silent_until: float = 0.0

    def is_silent(self, now: float) -> bool:
        """Tell whether the agent did not answer lately."""
        return now < self.silent_until

    def busy_share(self, slots: int) -> float:
        """Return the part of a target's slots that its callers keep waiting for."""
        return (self.load.in_flight + self.placed_since_report) / slots

    def accepts(self, now: float) -> bool:
        """Tell whether the agent is expected to take a new flow."""
        if now < self.leaving_until or self.is_silent(now):
            return False
        refuses = self.load.refusal != FlowRefusal.NONE
        return not (refuses and now - self.refused_at < REFUSAL_KEPT_S)


class AgentTable:
    """Agents by host.

    Attributes
    ----------
    agents : dict of int to AgentState
    """

    def __init__(self) -> None:
        self.agents: dict[int, AgentState] = {}

    def get(self, host: int) -> AgentState:
        """Return an agent's record."""
        agent = self.agents.get(host)
        if agent is None:
            agent = self.agents[host] = AgentState()
        return agent

    def record_timeout(self, host: int, now: float) -> None:
        """Note that an agent did not answer in time."""
        self.get(host).silent_until = now + AGENT_SILENT_S

    def record_message(self, host: int, now: float) -> AgentState:
        """Note any message from an agent."""
        agent = self.get(host)
        agent.heard_at = now
        agent.silent_until = 0.0
        return agent

    def record_load(self, host: int, load: Load, now: float) -> None:
        """Note an agent's load."""
        agent = self.record_message(host, now)
        agent.load = load
        agent.placed_since_report = 0
        if load.refusal != FlowRefusal.NONE:
            agent.refused_at = now

    def record_refusal(self, host: int, refusal: int, now: float) -> None:
        """Note that an agent refused a new flow."""
        agent = self.record_message(host, now)
        agent.load.refusal = refusal
        agent.refused_at = now

    def record_leaving(self, host: int, now: float) -> None:
        """Note that an agent restarts."""
        self.record_message(host, now).leaving_until = now + LEAVING_S

    def clear_silence(self) -> None:
        """Trust everybody again, after this process itself was paused."""
        for agent in self.agents.values():
            agent.silent_until = 0.0
