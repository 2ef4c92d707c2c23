"""Placement of a flow's first packet by a balancer.

`FlowPlacer` chooses targets, sends the first packet to the agent of the best one, and
tries others if it is refused or not answered. It reads no clock and no socket.
"""

from collections.abc import Callable
from functools import partial

from plantainyoke.catalogue import Catalogue, Route, Target
from plantainyoke.flows import (
    MAX_ALTERNATES,
    FlowKey,
    FlowRefusal,
    Message,
    MessageKind,
    Segment,
    decode_load_body,
    decode_refusal,
    encode_open_body,
    encode_open_detail,
    format_flow,
    get_service_endpoint,
)
from plantainyoke.hashing import compute_service_id
from plantainyoke.packet_balancer._flow_cache import CachedFlow, FlowCache
from plantainyoke.packet_balancer._sender import BalancerSender
from plantainyoke.packet_node import FeatureSettings, PacketCodec
from plantainyoke.placement import (
    AgentTable,
    apply_ejection_limit,
    is_mostly_cold,
    rank_by_expected_time,
    rank_services,
    rank_targets,
    select_idle_service,
)
from plantainyoke.telemetry import Metrics, log_event

PLACE_TIMEOUT_S = 0.06  # a target accepts within 10 ms, also in another zone


class FlowPlacer:
    """Places new flows on targets.

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
    find_holder : callable
        Searches for the holder of a flow; called with a packet, the flow's entry in the
        cache and the time.

    Attributes
    ----------
    ignored_services : set of str
        Services of which so many targets fail that this is ignored.
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
        find_holder: Callable[[Segment, CachedFlow, float], None],
    ) -> None:
        self.zone = zone
        self.catalogue = catalogue
        self.sender = sender
        self.cache = cache
        self.agents = agents
        self.codec = codec
        self.metrics = metrics
        self.features = features
        self.find_holder = find_holder
        self.rank_targets = (
            partial(rank_by_expected_time, on_tied=self._count_tied)
            if features.expected_time_choice
            else rank_targets
        )
        self.ignored_services: set[str] = set()

    def receive_first_packet(
        self, segment: Segment, entry: CachedFlow | None, now: float
    ) -> None:
        """Place the flow of a first packet, or repeat the attempt in progress."""
        flow = segment.flow
        if entry is None or entry.is_open:
            entry = self.cache.add(flow, now)
        elif entry.pending_segment is not None and entry.offered_hosts:
            # A retransmission repeats the attempt in progress at the same agents.
            self.metrics.counters["packet.opening_copy"] += 1
            self._send_first_packet(segment, entry)
            return
        self._place(segment, entry, now)

    def retry(
        self, flow: FlowKey, entry: CachedFlow, segment: Segment, now: float
    ) -> None:
        """Place a flow again whose first packet the last agent did not answer."""
        self.sender.record_timeouts(
            "open_unanswered", flow, entry.offered_hosts[:1], now
        )
        self.metrics.counters["retry.place_timeout"] += 1
        entry.tried_hosts += entry.offered_hosts[:1]
        entry.timed_out = True
        self._place(segment, entry, now)

    def receive_accepted(self, message: Message, source: int, now: float) -> None:
        """Cache the agent whose target accepted a first packet."""
        flow, load = decode_load_body(message.body)
        self.agents.record_load(source, load, now)
        entry = self.cache.get(flow)
        if entry is None or entry.is_open:
            return
        if not entry.holder:
            entry.holder = source
            self.metrics.observe("placement", now - entry.created_at)
        self.cache.clear_attempts(flow, entry)

    def receive_refused(self, message: Message, source: int, now: float) -> None:
        """Retry at targets that were not tried yet, or end the placement."""
        segment = self.codec.parse_caller_packet(message.body)
        refusal = decode_refusal(message.detail)
        self.agents.record_refusal(source, refusal, now)
        self.metrics.counters[f"refused.{refusal.name.lower()}"] += 1
        entry = self.cache.get(segment.flow)
        if entry is None or entry.holder:
            return
        entry.met_failing |= refusal == FlowRefusal.FAILING
        if refusal == FlowRefusal.BUSY and not entry.may_wait:
            # The best targets are busy, so the others are no better: the flow waits
            # at one of the best.
            entry.may_wait = True
        elif (
            refusal == FlowRefusal.FAILING
            and not entry.ignore_failing
            and self._exceeds_ejection_limit(entry.service_name, now)
        ):
            # Too many targets fail: the same ones are asked to admit the flow.
            entry.ignore_failing = True
        else:
            entry.tried_hosts += entry.offered_hosts
        self._place(segment, entry, now)

    def receive_waiting(self, message: Message, source: int, now: float) -> None:
        """Stop the timeout of a first packet that waits at an agent.

        Retransmissions go to the same agent.
        """
        flow, load = decode_load_body(message.body)
        self.agents.record_load(source, load, now)
        entry = self.cache.get(flow)
        if entry is not None and not entry.holder:
            self.cache.unresolved.pop(flow, None)
            entry.offered_hosts = [source]

    def _place(self, segment: Segment, entry: CachedFlow, now: float) -> None:
        flow = segment.flow
        route = self.catalogue.routes.get(get_service_endpoint(flow))
        if route is None:
            self.sender.reset_flow(segment, "no_route")
            return
        targets, mostly_cold = self._choose_targets(route, entry, flow, now)
        if not targets and entry.met_failing and not entry.ignore_failing:
            # Load reports state no failure while a trial is due, or are not sent to
            # this balancer yet; a failing target is better than none.
            entry.ignore_failing = True
            entry.tried_hosts.clear()
            targets, mostly_cold = self._choose_targets(route, entry, flow, now)
        if not targets:
            self._end_placement(segment, entry, now)
            return
        service = targets[0].service
        entry.offered_hosts = [target.host for target in targets]
        entry.service = compute_service_id(service)
        entry.service_name = service
        entry.ignore_failing |= service in self.ignored_services
        entry.mostly_cold = mostly_cold
        entry.attempts += 1
        entry.pending_segment = segment
        entry.deadline = now + PLACE_TIMEOUT_S
        self.cache.unresolved[flow] = entry
        self.agents.record_placement(entry.offered_hosts[0], now)
        self.metrics.counters["open.placed"] += 1
        log_event(
            "open_placed",
            flow=format_flow(flow),
            route=route.name,
            service=service,
            target=targets[0].name,
            attempt=entry.attempts,
            version=self.catalogue.configuration.version,
            revision=self.catalogue.revision,
        )
        self._send_first_packet(segment, entry)

    def _end_placement(self, segment: Segment, entry: CachedFlow, now: float) -> None:
        """Reset a flow that every target refused, if it cannot be open.

        If an agent timed out, the flow is not reset: the agent may have placed it. The
        caller's next retransmission then starts a new placement. Another balancer may
        have placed an earlier copy of a retransmission, so that the flow's holder is
        searched for; the search resets the flow if there is none.
        """
        if entry.timed_out:
            self.sender.end_attempts(segment.flow, entry)
        elif self.codec.estimate_first_packet_age_s(segment) > 0:
            self.find_holder(segment, entry, now)
        else:
            self.sender.reset_flow(segment, "no_target")

    def _count_tied(self) -> None:
        self.metrics.counters["choice.tied"] += 1

    def _choose_targets(
        self, route: Route, entry: CachedFlow, flow: FlowKey, now: float
    ) -> tuple[list[Target], bool]:
        """Return targets, the preferred first, and whether their service is cold."""
        eligible = {
            service: self.catalogue.list_eligible_targets(service)
            for service in rank_services(route, flow)
        }
        for service, targets in eligible.items():
            self._update_ejection_limit(service, targets, now)
        ranked = [
            self.rank_targets(
                [target for target in targets if target.host not in entry.tried_hosts],
                flow=flow,
                zone=self.zone,
                agents=self.agents,
                now=now,
            )
            for targets in eligible.values()
        ]
        chosen = select_idle_service(ranked, agents=self.agents, now=now)
        mostly_cold = bool(chosen) and is_mostly_cold(eligible[chosen[0].service])
        return chosen[: MAX_ALTERNATES + 1], mostly_cold

    def _send_first_packet(self, segment: Segment, entry: CachedFlow) -> None:
        first, *alternates = entry.offered_hosts
        self.sender.send(
            MessageKind.OPEN,
            first,
            encode_open_body(alternates, segment.raw),
            service=entry.service,
            detail=encode_open_detail(
                len(alternates),
                mostly_cold=entry.mostly_cold,
                may_wait=entry.may_wait,
                ignore_failing=entry.ignore_failing,
            ),
        )

    def _exceeds_ejection_limit(self, service: str, now: float) -> bool:
        targets = self.catalogue.list_eligible_targets(service)
        self._update_ejection_limit(service, targets, now)
        return service in self.ignored_services

    def _update_ejection_limit(
        self, service: str, targets: list[Target], now: float
    ) -> None:
        """Ignore the failures of a service's targets while too many of them fail."""
        if not self.features.failing_target_detection:
            return
        if not apply_ejection_limit(targets, agents=self.agents, now=now):
            self.ignored_services.discard(service)
        elif service not in self.ignored_services:
            self.ignored_services.add(service)
            log_event("failing_ignored", service=service, targets=len(targets))
