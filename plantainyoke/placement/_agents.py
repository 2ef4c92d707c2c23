"""State of each agent as one balancer observes it.

The table is built from the messages that the balancer exchanges with each agent: its
load reports, refusals, timeouts and announced restarts. Placement uses it to avoid
agents that are unlikely to accept a new flow.
"""

import msgspec

from plantainyoke.flows import FlowRefusal, Load

AGENT_SILENT_S = 5.0  # an agent that timed out gets no new flows for this long
LEAVING_S = 3.0  # time for the restart of an agent whose target keeps running
REFUSAL_VALID_S = 0.5  # two load reports; a refusal that is not repeated expires


class AgentState(msgspec.Struct):
    """State of one agent.

    Times are in seconds of the balancer's clock, 0 if the event did not occur.

    Attributes
    ----------
    load : Load
        Load that the agent reported last.
    last_message_at : float
        Time of the last message from the agent.
    placed_since_report : int
        Flows that were placed at the agent since its last report.
    work_time_changed_at : float
        Time at which the reported service time changed last; it changes with each
        answer.
    refused_at : float
        Time of the last refusal, in a report or for a flow.
    leaving_until : float
        Time until which the agent counts as restarting.
    silent_until : float
        Time until which the agent counts as silent unless a message arrives.
    is_failing_ignored : bool
        Whether the agent gets flows although its target fails requests, because too
        many targets do.
    """

    load: Load = msgspec.field(default_factory=Load)
    last_message_at: float = 0.0
    placed_since_report: int = 0
    work_time_changed_at: float = 0.0
    refused_at: float = 0.0
    leaving_until: float = 0.0
    silent_until: float = 0.0
    is_failing_ignored: bool = False

    def is_silent(self, now: float) -> bool:
        """Return whether the agent timed out recently and sent no message since."""
        return now < self.silent_until

    def is_failing(self, now: float) -> bool:
        """Return whether the agent stated lately that its target fails requests."""
        return (
            self.load.refusal == FlowRefusal.FAILING
            and now - self.refused_at < REFUSAL_VALID_S
        )

    def busy_share(self, slots: int) -> float:
        """Return the requests in flight and new flows per slot of the target.

        Parameters
        ----------
        slots : int
            Requests that the target runs at a time.

        Returns
        -------
        float
            1.0 if they occupy every slot, more if some of them are queued.
        """
        return (self.load.in_flight + self.placed_since_report) / slots

    def is_accepting(self, now: float) -> bool:
        """Return whether the agent is expected to accept a new flow."""
        if now < self.leaving_until or self.is_silent(now):
            return False
        if self.is_failing_ignored and self.load.refusal == FlowRefusal.FAILING:
            return True
        refuses = self.load.refusal != FlowRefusal.NONE
        return not (refuses and now - self.refused_at < REFUSAL_VALID_S)


class AgentTable:
    """States of all agents with which a balancer exchanged messages.

    Attributes
    ----------
    agents : dict of int to AgentState
        States by the address of the agent's host.
    """

    def __init__(self) -> None:
        self.agents: dict[int, AgentState] = {}

    def get(self, host: int) -> AgentState:
        """Return the state of an agent, which is added if it is not known."""
        agent = self.agents.get(host)
        if agent is None:
            agent = self.agents[host] = AgentState()
        return agent

    def record_timeout(self, host: int, now: float) -> None:
        """Record that an agent did not answer in time."""
        self.get(host).silent_until = now + AGENT_SILENT_S

    def record_message(self, host: int, now: float) -> AgentState:
        """Record that a message arrived from an agent, and return its state."""
        agent = self.get(host)
        agent.last_message_at = now
        agent.silent_until = 0.0
        return agent

    def record_placement(self, host: int, now: float) -> None:
        """Record that a flow was placed at an agent."""
        self.get(host).placed_since_report += 1

    def record_load(self, host: int, load: Load, now: float) -> None:
        """Record the load that an agent reported."""
        agent = self.record_message(host, now)
        if load.work_time_us != agent.load.work_time_us:
            agent.work_time_changed_at = now
        agent.load = load
        agent.placed_since_report = 0
        if load.refusal != FlowRefusal.NONE:
            agent.refused_at = now

    def record_refusal(self, host: int, refusal: int, now: float) -> None:
        """Record that an agent refused a new flow."""
        agent = self.record_message(host, now)
        agent.load.refusal = refusal
        agent.refused_at = now

    def record_leaving(self, host: int, now: float) -> None:
        """Record that an agent announced its restart."""
        self.record_message(host, now).leaving_until = now + LEAVING_S

    def clear_silence(self) -> None:
        """Clear the timeouts of all agents.

        After a pause of this process they are no evidence against the agents, because
        answers that arrived meanwhile were not processed in time.
        """
        for agent in self.agents.values():
            agent.silent_until = 0.0
