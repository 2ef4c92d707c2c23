"""Relayed messages at an agent: forwarding for others, and detours of its own answers.

Load pattern: two zones cannot reach each other while a third reaches both. A balancer
then sends packets for an agent through an agent of the third zone, and this agent's
answers to the balancer take the same way.

Nothing here reads a clock or a socket: times and the function that sends are arguments.
"""

from collections.abc import Callable

import msgspec

from plantainyoke.catalogue import Catalogue
from plantainyoke.flows import (
    MAX_HOPS,
    Ingress,
    Message,
    MessageKind,
    RelayedMessage,
    add_hop,
    decode_relay_body,
    encode_message,
    encode_relay_body,
)
from plantainyoke.telemetry import Metrics

DETOUR_TIMEOUT_S = 2.0  # the time for which other balancers stay known, too
REPORT_INTERVAL_S = 0.25  # that of load reports on the direct way
MAX_REPORTS_PER_INTERVAL = 8  # as for load reports on the direct way


class AnswerDetour(msgspec.Struct):
    """Way of this agent's messages to one balancer.

    Attributes
    ----------
    relay : int
        Host of the agent that forwarded the balancer's latest message.
    heard_at : float
        Time of that message, in seconds.
    reported_at : float
        Time of the latest load report on this way.
    """

    relay: int
    heard_at: float
    reported_at: float = float("-inf")


class AgentRelay:
    """Forwards RELAY messages once, and sends answers over the detours of balancers.

    Parameters
    ----------
    host : int
        Host of the agent.
    catalogue : Catalogue
    send_to_host : callable
        Called with a host and a datagram.
    balancers : dict of int to float
        Balancers that this agent hears directly, with the time.
    report_load : callable
        Sends a load report to a balancer; called with its host.
    metrics : Metrics
    is_enabled : bool
        Whether messages are forwarded for others.

    Attributes
    ----------
    detours : dict of int to AnswerDetour
        By the host of the balancer.
    """

    def __init__(
        self,
        *,
        host: int,
        catalogue: Catalogue,
        send_to_host: Callable[[int, bytes], None],
        balancers: dict[int, float],
        report_load: Callable[[int], None],
        metrics: Metrics,
        is_enabled: bool,
    ) -> None:
        self.host = host
        self.catalogue = catalogue
        self.send_to_host = send_to_host
        self.balancers = balancers
        self.report_load = report_load
        self.metrics = metrics
        self.is_enabled = is_enabled
        self.detours: dict[int, AnswerDetour] = {}

    def send(self, host: int, datagram: bytes) -> None:
        """Send a message, over a detour if the host's latest message came over one."""
        detour = self.detours.get(host)
        if detour is None:
            self.send_to_host(host, datagram)
        else:
            # Without an ingress: this agent is not a balancer that wants reports.
            self._send_relay(detour.relay, host, datagram, Ingress(), hops=0)

    def record_direct(self, source: int) -> None:
        """End the detour to a process from which a message arrived directly."""
        self.detours.pop(source, None)

    def receive(
        self, message: Message, source: int, now: float
    ) -> tuple[Message, int] | None:
        """Forward a RELAY, or return what it contains if it is for this agent.

        Returns
        -------
        tuple of (Message, int) or None
            The message inside and the host that sent it.
        """
        relayed = decode_relay_body(message.body)
        origin = message.ingress.host
        if message.hops == 0 and relayed.final_host != self.host:
            self.record_direct(source)
            if origin == source:
                self.balancers[source] = now
            self._forward(relayed, source)
            return None
        is_valid = (
            message.hops == 1
            and relayed.final_host == self.host
            and self._is_agent(source)
            and relayed.message.ingress.host == origin != source
        )
        if not is_valid:
            self.metrics.counters["drop.relay"] += 1
            return None
        self._record_detour(origin, source, now)
        return relayed.message, origin

    def expire(self, now: float) -> None:
        """Remove the detours of balancers that were not heard for some time."""
        for balancer, detour in tuple(self.detours.items()):
            if now - detour.heard_at > DETOUR_TIMEOUT_S:
                del self.detours[balancer]

    def _is_agent(self, host: int) -> bool:
        catalogue = self.catalogue
        return host in catalogue.target_by_host or host in catalogue.departure_times

    def _forward(self, relayed: RelayedMessage, source: int) -> None:
        final_host = relayed.final_host
        # One end is an agent, the other a balancer that this agent hears.
        is_known = (self._is_agent(final_host) and source in self.balancers) or (
            self._is_agent(source) and final_host in self.balancers
        )
        if not self.is_enabled or not is_known or relayed.message.hops >= MAX_HOPS:
            self.metrics.counters["drop.relay"] += 1
            return
        self.metrics.counters["relay.forwarded"] += 1
        self._send_relay(
            final_host, final_host, add_hop(relayed.datagram), Ingress(source), hops=1
        )

    def _record_detour(self, balancer: int, relay: int, now: float) -> None:
        """Keep the way to a balancer, and report the load on it if that is due."""
        detour = self.detours.get(balancer)
        if detour is None:
            detour = self.detours[balancer] = AnswerDetour(relay, now)
        detour.relay, detour.heard_at = relay, now
        reported = [
            one
            for one in self.detours.values()
            if now - one.reported_at < REPORT_INTERVAL_S
        ]
        if detour not in reported and len(reported) < MAX_REPORTS_PER_INTERVAL:
            detour.reported_at = now
            self.report_load(balancer)

    def _send_relay(
        self,
        host: int,
        final_host: int,
        datagram: bytes,
        ingress: Ingress,
        *,
        hops: int,
    ) -> None:
        body = encode_relay_body(final_host, datagram)
        self.send_to_host(
            host,
            encode_message(
                MessageKind.RELAY,
                body,
                ingress=ingress,
                revision=self.catalogue.revision,
                hops=hops,
            ),
        )
