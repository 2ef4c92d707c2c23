"""What an agent knows about whether its target holds a flow.

Only the target knows its flows. The agent sees every packet of them while it runs, so
its table has all flows that had a packet since some time, which is
`FlowTable.complete_since`. A flow that is not in the table was idle for longer than
that, or does not exist. The agent denies it only if a flow that was idle for so long
may be dropped; it computes this at each question, because a configuration may raise the
idle timeout at any time. Otherwise the packet goes to the target, which returns it if
it does not hold the flow.

Nothing here reads a clock or a socket: times are arguments.
"""

from plantainyoke.catalogue import Catalogue
from plantainyoke.flows import FlowKey, FlowTable, Knowledge
from plantainyoke.telemetry import log_event


class FlowKnowledge:
    """Decides which flows the agent denies, and which it leaves to its target.

    Parameters
    ----------
    catalogue : Catalogue
        View from which the idle timeout is read.
    flow_table : FlowTable
        Flows of the target.
    configuration_apply_s : float
        Time within which a published configuration is in force. A longer idle timeout
        may have been published that long before this process learns of it.

    Attributes
    ----------
    was_complete : bool
        Whether unknown flows were denied at the last tick.
    """

    def __init__(
        self,
        *,
        catalogue: Catalogue,
        flow_table: FlowTable,
        configuration_apply_s: float,
    ) -> None:
        self.catalogue = catalogue
        self.flow_table = flow_table
        self.configuration_apply_s = configuration_apply_s
        self.was_complete = False

    @property
    def idle_timeout_s(self) -> float:
        """Time after which an idle flow no longer counts as open."""
        return self.catalogue.configuration.idle_timeout_s

    @property
    def retention_s(self) -> float:
        """Time without a packet after which an unknown flow is denied."""
        return self.idle_timeout_s + self.configuration_apply_s

    def is_complete(self, now: float) -> bool:
        """Return whether no other flow than those of the table can be open."""
        return now - self.flow_table.complete_since >= self.retention_s

    def get_knowledge(self, flow: FlowKey, now: float) -> Knowledge:
        """Return what this agent can say about a flow without asking its target."""
        if self.flow_table.is_held(flow):
            return Knowledge.HOLDS
        if flow in self.flow_table.half_open or not self.is_complete(now):
            return Knowledge.UNSURE
        return Knowledge.DENIES

    def tick(self, now: float) -> None:
        """Remove expired flows, and log if unknown ones are denied from now on or not.

        The line names the idle timeout, on which a reset for this reason depends.
        """
        self.flow_table.expire(
            now, idle_s=self.idle_timeout_s, retention_s=self.retention_s
        )
        is_complete = self.is_complete(now)
        if is_complete == self.was_complete:
            return
        self.was_complete = is_complete
        log_event(
            "unknown_flows_denied" if is_complete else "unknown_flows_offered",
            version=self.catalogue.configuration.version,
            idle_timeout_s=self.idle_timeout_s,
        )
