"""Load reports of an agent to the balancers that use it."""

from collections.abc import Container

from plantainyoke.flows import Ingress, MessageKind, encode_load_body
from plantainyoke.packet_agent._sender import MessageSender

MAX_REPORTS_PER_INTERVAL = 8  # 2 KB/s at four reports a second
ACTIVITY_TIMEOUT_S = 2.0  # then balancers get no reports


class LoadReporter:
    """Sends the load of the agent's target to balancers heard lately.

    Parameters
    ----------
    balancers : dict of int to float
        Time at which each balancer was heard last, by host.
    detours : container of int
        Balancers that get their reports over a detour.
    sender : MessageSender
    """

    def __init__(
        self,
        *,
        balancers: dict[int, float],
        detours: Container[int],
        sender: MessageSender,
    ) -> None:
        self.balancers = balancers
        self.detours = detours
        self.sender = sender

    def send_batch(self, now: float) -> None:
        """Send the load to balancers heard lately, a batch at a time, round robin."""
        for balancer, heard_at in list(self.balancers.items()):
            if now - heard_at > ACTIVITY_TIMEOUT_S:
                del self.balancers[balancer]
        direct = [host for host in self.balancers if host not in self.detours]
        batch = direct[:MAX_REPORTS_PER_INTERVAL]
        self.send(batch)
        for balancer in batch:
            # Move to the end: balancers left out of this batch come first next time.
            self.balancers[balancer] = self.balancers.pop(balancer)

    def send(self, balancers: list[int]) -> None:
        """Send the load to some balancers."""
        body = encode_load_body(b"", self.sender.load())
        for balancer in balancers:
            self.sender.send(
                MessageKind.LOAD_REPORT, balancer, body, ingress=Ingress(balancer)
            )

    def announce_leaving(self) -> None:
        """Tell balancers that this process stops."""
        for balancer in self.balancers:
            self.sender.send(
                MessageKind.LEAVING, balancer, b"", ingress=Ingress(balancer)
            )
