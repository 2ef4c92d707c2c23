"""Search of a balancer for the agent that holds a flow.

`HolderLocator` asks the flow's homes, then other agents, if the balancer does not know
the holder. It reads no clock and no socket.
"""

from plantainyoke.catalogue import Catalogue
from plantainyoke.flows import (
    FlowKey,
    Message,
    MessageKind,
    Segment,
    choose_homes,
    decode_load_body,
)
from plantainyoke.packet_balancer._flow_cache import MAX_ATTEMPTS, CachedFlow, FlowCache
from plantainyoke.packet_balancer._sender import BalancerSender
from plantainyoke.packet_node import FeatureSettings, PacketCodec
from plantainyoke.placement import AgentTable
from plantainyoke.telemetry import Metrics

FIND_TIMEOUT_S = 0.06


class HolderLocator:
    """Finds the agents that hold flows.

    Parameters
    ----------
    zone : str
        Zone of the balancer.
    catalogue : Catalogue
    sender : BalancerSender
    cache : FlowCache
    agents : AgentTable
    codec : PacketCodec
    metrics : Metrics
    features : FeatureSettings
    """

    def __init__(
        self,
        *,
        zone: str,
        catalogue: Catalogue,
        sender: BalancerSender,
        cache: FlowCache,
        agents: AgentTable,
        codec: PacketCodec,
        metrics: Metrics,
        features: FeatureSettings,
    ) -> None:
        self.zone = zone
        self.catalogue = catalogue
        self.sender = sender
        self.cache = cache
        self.agents = agents
        self.codec = codec
        self.metrics = metrics
        self.features = features

    def find_holder(
        self, segment: Segment, entry: CachedFlow | None, now: float
    ) -> None:
        """Ask for the holder of a packet's flow, which gets the packet."""
        flow = segment.flow
        if entry is None:
            entry = self.cache.add(flow, now)
        if flow in self.cache.unresolved and entry.attempts < MAX_ATTEMPTS:
            # An inquiry is in progress: the agent that was asked last also gets this
            # packet.
            entry.pending_segment = segment
            if entry.tried_hosts:
                self.sender.send(MessageKind.FIND, entry.tried_hosts[-1], segment.raw)
                return
        entry.tried_hosts, entry.attempts = [], 0
        self._ask_for_holder(segment, entry, now)

    def retry(
        self, flow: FlowKey, entry: CachedFlow, segment: Segment, now: float
    ) -> None:
        """Ask another agent, because the last one did not answer."""
        self.sender.record_timeouts(
            "find_unanswered", flow, entry.tried_hosts[-1:], now
        )
        self.metrics.counters["retry.find_timeout"] += 1
        self._ask_for_holder(segment, entry, now)

    def receive_held(self, message: Message, source: int, now: float) -> None:
        """Cache the agent that holds a flow."""
        flow, load = decode_load_body(message.body)
        self.agents.record_load(source, load, now)
        entry = self.cache.get(flow)
        if entry is None:
            entry = self.cache.add(flow, now)
        entry.holder = source
        entry.is_open = True
        self.cache.clear_attempts(flow, entry)

    def receive_not_held(self, message: Message, source: int, now: float) -> None:
        """Handle a packet that an agent returned because it does not hold the flow.

        The holder in this balancer's cache was wrong. The packet goes to the current
        holder if another one was reported meanwhile; otherwise the balancer asks for
        the holder again.
        """
        segment = self.codec.parse_caller_packet(message.body)
        self.agents.record_message(source, now)
        self.metrics.counters["hint.wrong"] += 1
        entry = self.cache.get(segment.flow)
        if entry is None:
            entry = self.cache.add(segment.flow, now)
        if entry.holder not in (0, source):
            self.sender.send(MessageKind.FORWARD, entry.holder, segment.raw)
            return
        if entry.holder:
            entry.holder, entry.is_open = 0, False
            entry.tried_hosts, entry.attempts = [], 0
        if entry.attempts >= MAX_ATTEMPTS:
            return
        self._ask_for_holder(segment, entry, now)

    def receive_searching(self, message: Message, source: int, now: float) -> None:
        """Stop the timeout of an inquiry, because an agent searches for the holder."""
        flow, load = decode_load_body(message.body)
        self.agents.record_load(source, load, now)
        entry = self.cache.get(flow)
        if entry is not None:
            self.cache.unresolved.pop(flow, None)
            entry.pending_segment = None

    def _ask_for_holder(self, segment: Segment, entry: CachedFlow, now: float) -> None:
        host = self._select_agent_to_ask(segment.flow, entry.tried_hosts, now)
        if host is None:
            self.metrics.counters["drop.no_agent"] += 1
            self.cache.clear_attempts(segment.flow, entry)
            return
        entry.tried_hosts.append(host)
        entry.attempts += 1
        entry.pending_segment = segment
        entry.deadline = now + FIND_TIMEOUT_S
        self.cache.unresolved[segment.flow] = entry
        self.metrics.counters["find.asked"] += 1
        self.sender.send(MessageKind.FIND, host, segment.raw)

    def _select_agent_to_ask(
        self, flow: FlowKey, tried_hosts: list[int], now: float
    ) -> int | None:
        """Select the agent to ask for the holder of a flow.

        The flow's homes come first, then other agents of the balancer's zone, then
        agents of other zones. Silent agents are asked only if no other agent remains,
        and those in `tried_hosts` not at all.
        """
        rings = self.catalogue.rings_by_zone
        for home in choose_homes(flow, self.sender.ingress.zone, rings):
            if home not in tried_hosts and not self.agents.get(home).is_silent(now):
                return home
        silent_hosts = {
            host for host in self.agents.agents if self.agents.get(host).is_silent(now)
        }
        local_rings = [
            ring for zone, ring in rings.items() if zone == self.sender.ingress.zone
        ]
        remote_rings = [
            ring for zone, ring in rings.items() if zone != self.sender.ingress.zone
        ]
        for skipped in (silent_hosts.union(tried_hosts), set(tried_hosts)):
            for ring in local_rings + remote_rings:
                host = ring.find(flow, skip=skipped)
                if host is not None:
                    return host
        return None
