"""Steering of callers' packets by a balancer.

Forwards the packets of known flows, and hands all others to the code that places first
packets (`_placer`) or finds the holder of a flow (`_locator`). The modules read no
clock and no socket: the time and the functions that send are arguments, so that tests
can replay any load.
"""

from plantainyoke.catalogue import Catalogue
from plantainyoke.flows import (
    FlowKey,
    Ingress,
    Message,
    MessageKind,
    Segment,
    decode_load_body,
)
from plantainyoke.hashing import compute_zone_id
from plantainyoke.network import format_host
from plantainyoke.packet_balancer._detours import DetourTable
from plantainyoke.packet_balancer._flow_cache import MAX_ATTEMPTS, FlowCache
from plantainyoke.packet_balancer._locator import HolderLocator
from plantainyoke.packet_balancer._placer import FlowPlacer
from plantainyoke.packet_balancer._sender import BalancerSender, BalancerTransport
from plantainyoke.packet_node import ALL_FEATURES, FeatureSettings, PacketCodec
from plantainyoke.placement import AgentTable, measure_imbalance
from plantainyoke.telemetry import Metrics, log_event


class PacketSteering:
    """Forwards each packet of a caller to the agent that holds its flow.

    Parameters
    ----------
    host : int
        Address of the balancer's host, as an integer.
    zone : str
        Zone of the balancer.
    catalogue : Catalogue
    transport : BalancerTransport
    codec : PacketCodec
    metrics : Metrics
    features : FeatureSettings, optional
        By default all features are on.

    Attributes
    ----------
    agents : AgentTable
        States of the agents, by their messages to this balancer.
    flow_cache : FlowCache
    detours : DetourTable
    """

    def __init__(
        self,
        *,
        host: int,
        zone: str,
        catalogue: Catalogue,
        transport: BalancerTransport,
        codec: PacketCodec,
        metrics: Metrics,
        features: FeatureSettings = ALL_FEATURES,
    ) -> None:
        self.catalogue = catalogue
        self.metrics = metrics
        self.agents = AgentTable()
        self.flow_cache = FlowCache()
        ingress = Ingress(host, compute_zone_id(zone))
        self.detours = DetourTable(
            ingress=ingress,
            zone=zone,
            catalogue=catalogue,
            agents=self.agents,
            send_to_agent=transport.send_to_agent,
            metrics=metrics,
            is_enabled=features.relay_through_third_zone,
        )
        self.sender = BalancerSender(
            ingress=ingress,
            catalogue=catalogue,
            transport=transport,
            codec=codec,
            metrics=metrics,
            flow_cache=self.flow_cache,
            agents=self.agents,
            detours=self.detours,
        )
        parts = dict(
            zone=zone,
            catalogue=catalogue,
            sender=self.sender,
            cache=self.flow_cache,
            agents=self.agents,
            codec=codec,
            metrics=metrics,
            features=features,
        )
        self.locator = HolderLocator(**parts)
        self.placer = FlowPlacer(**parts, find_holder=self.locator.find_holder)
        self.handlers = {
            MessageKind.ACCEPTED: self.placer.receive_accepted,
            MessageKind.HELD: self.locator.receive_held,
            MessageKind.REFUSED: self.placer.receive_refused,
            MessageKind.NOT_HELD: self.locator.receive_not_held,
            MessageKind.SEARCHING: self.locator.receive_searching,
            MessageKind.LOAD_REPORT: self._receive_load_report,
            MessageKind.LEAVING: self._receive_leaving,
            MessageKind.WAITING: self.placer.receive_waiting,
            MessageKind.QUERY_ANSWER: self._receive_query_answer,
        }

    def try_forward(self, flow: FlowKey, packet: bytes, now: float) -> bool:
        """Forward a packet if the holder of its flow is cached.

        Parameters
        ----------
        flow : bytes
            Key of the flow.
        packet : bytes
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether the packet was forwarded.
        """
        entry = self.flow_cache.get(flow)
        if entry is None or not entry.holder:
            return False
        self.detours.now = now
        self.flow_cache.record_packet(flow, entry, now)
        self.metrics.counters["packet.forwarded"] += 1
        self.sender.forward(entry.holder, packet)
        return True

    def receive_from_caller(self, segment: Segment, now: float) -> None:
        """Forward a packet of a caller, place its flow, or find its holder."""
        self.detours.now = now
        entry = self.flow_cache.get(segment.flow)
        if entry is not None:
            self.flow_cache.record_packet(segment.flow, entry, now)
            is_reopening = segment.opens and entry.is_open
            if not is_reopening and self.try_forward(segment.flow, segment.raw, now):
                return
        if segment.opens:
            self.placer.receive_first_packet(segment, entry, now)
        else:
            self.locator.find_holder(segment, entry, now)

    def receive_message(self, message: Message, source: int, now: float) -> None:
        """Handle one datagram of an agent."""
        self.detours.now = now
        if message.kind == MessageKind.RELAY:
            relayed = self.detours.receive(message, source)
            if relayed is None:
                return
            message, source = relayed
        else:
            self.detours.record_direct(source)
        handler = self.handlers.get(message.kind)
        if handler is None:
            self.metrics.counters["drop.message_unexpected"] += 1
            return
        handler(message, source, now)

    def tick(self, now: float) -> None:
        """Retry the placements and inquiries whose deadline has passed."""
        self.detours.now = now
        for flow, entry in self.flow_cache.list_due(now):
            segment = entry.pending_segment
            if segment is None or entry.attempts >= MAX_ATTEMPTS:
                self.sender.end_attempts(flow, entry)
            elif segment.opens:
                self.placer.retry(flow, entry, segment, now)
            else:
                self.locator.retry(flow, entry, segment, now)

    def expire(self, now: float) -> None:
        """Remove flows that exceeded the idle timeout or the size of the cache.

        The gauges of the load are updated at the same time.
        """
        self.flow_cache.expire(now, self.catalogue.configuration.idle_timeout_s)
        for service in self.catalogue.configuration.services:
            targets = self.catalogue.list_eligible_targets(service)
            self.metrics.gauge(
                f"load.imbalance.{service}",
                measure_imbalance(targets, self.agents, now),
            )

    def _receive_load_report(self, message: Message, source: int, now: float) -> None:
        _, load = decode_load_body(message.body)
        self.agents.record_load(source, load, now)

    def _receive_query_answer(self, message: Message, source: int, now: float) -> None:
        """Handle the answer to a query that tried the direct path to an agent."""
        self.agents.record_message(source, now)

    def _receive_leaving(self, message: Message, source: int, now: float) -> None:
        self.agents.record_leaving(source, now)
        log_event("agent_leaving", agent=format_host(source))
