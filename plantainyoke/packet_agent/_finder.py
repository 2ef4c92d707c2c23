"""How an agent finds the holders of flows that are not its target's.

Nothing here reads a clock or a socket; see `_delivery`.
"""

from collections.abc import Callable

from plantainyoke.catalogue import Catalogue
from plantainyoke.flows import (
    WIDEN_DELAY_S,
    FlowKey,
    HeldFlow,
    HolderTable,
    Ingress,
    Message,
    MessageKind,
    Search,
    SearchTable,
    Segment,
    choose_homes,
    format_flow,
    service_endpoint,
)
from plantainyoke.network import format_host
from plantainyoke.packet_agent._sender import MessageSender
from plantainyoke.placement import select_by_rendezvous
from plantainyoke.telemetry import Metrics, log_event

FIRST_CANDIDATES = 32  # agents asked at first: twice those compared in a placement
MAX_CANDIDATES = 256  # agents asked in one search
POINTER_KEPT_S = 600.0  # pointers are refreshed at half of it
HOMES_UPDATED_PER_TICK = 200  # flows whose homes are told again, of a tick


class HolderFinder:
    """Remembers holders as a home, searches for them, and tells homes of own flows.

    Parameters
    ----------
    host : int
        The agent's own host.
    catalogue : Catalogue
    sender : MessageSender
    metrics : Metrics
    probe_target : callable
        Asks this agent's own target about a packet; called with the segment and the
        message that a search would send.

    Attributes
    ----------
    homes_to_update : list of bytes
        Own flows whose homes may have changed.
    """

    def __init__(
        self,
        *,
        host: int,
        catalogue: Catalogue,
        sender: MessageSender,
        metrics: Metrics,
        probe_target: Callable[[Segment, Message], None],
    ) -> None:
        self.host = host
        self.catalogue = catalogue
        self.sender = sender
        self.metrics = metrics
        self.probe_target = probe_target
        self.holder_table = HolderTable()
        self.searches = SearchTable()
        self.homes_to_update: list[FlowKey] = []
        self.refreshed_at = 0.0

    def forward_to_holder(self, segment: Segment, message: Message, now: float) -> None:
        """Send a packet to the holder of its flow, or look for the holder."""
        flow = segment.flow
        holder = self.holder_table.find(flow)
        if holder is not None and holder != self.host:
            self.metrics.counters["find.home_knew"] += 1
            self.sender.forward(
                MessageKind.FORWARD, holder, segment, message.ingress, message.hops
            )
            return
        second = self._second_home(flow, message)
        if second is not None:
            self.metrics.counters["find.second_home"] += 1
            self.sender.forward(
                MessageKind.FIND, second, segment, message.ingress, message.hops
            )
            return
        self._search(segment, message.ingress, message.hops, now)

    def record_denial(
        self, segment: Segment, source: int, ingress: Ingress, now: float
    ) -> None:
        """Note that an agent does not hold a flow."""
        flow = segment.flow
        search = self.searches.record_denial(flow, source)
        if search is not None:
            if search.is_denied_by_all(self.catalogue.target_by_host):
                self._widen_or_end(segment, search, ingress)
        elif self.holder_table.find(flow) == source:
            # The pointer was wrong: look everywhere.
            self.holder_table.remove(flow, source)
            self.metrics.counters["hint.wrong"] += 1
            self._search(segment, ingress, 1, now)

    def record_holder(self, flow: FlowKey, holder: int, now: float) -> None:
        """Note who holds a flow."""
        self.holder_table.register(flow, holder, now)
        search = self.searches.finish(flow)
        if search is None:
            return
        self.metrics.observe("search", now - search.started_at)
        self.metrics.counters["search.found"] += 1
        log_event(
            "search_found",
            flow=format_flow(flow),
            holder=format_host(holder),
            denied=len(search.denied),
            took_ms=round((now - search.started_at) * 1000),
        )

    def register_holder(self, flow: FlowKey, held: HeldFlow) -> None:
        """Tell a flow's homes that this agent's target holds it."""
        homes = choose_homes(flow, held.ingress.zone, self.catalogue.rings_by_zone)
        held.homes = homes
        for home in homes:
            if home != self.host:
                self.sender.send(
                    MessageKind.REGISTER_HOLDER, home, flow, ingress=held.ingress
                )

    def tick(self, flows: dict[FlowKey, HeldFlow], now: float) -> None:
        """Forget what is old, end searches, and tell homes again.

        Parameters
        ----------
        flows : dict of bytes to HeldFlow
            Flows that this agent's target holds.
        now : float
        """
        self.holder_table.expire(now, POINTER_KEPT_S)
        for flow, search in self.searches.expire(now):
            self._record_unanswered(flow, search)
        for flow, search in list(self.searches.running.items()):
            # What is left to ask gets the next packet of the flow.
            is_over = search.denied and not search.deferred
            if is_over and search.is_denied_by_all(self.catalogue.target_by_host):
                self._end_search(flow, search)
        self._update_homes(flows, now)

    def _update_homes(self, flows: dict[FlowKey, HeldFlow], now: float) -> None:
        """Tell new homes, paced; tell all homes again before pointers expire."""
        if now - self.refreshed_at > POINTER_KEPT_S / 2:
            self.refreshed_at = now
            self.homes_to_update = list(flows)
            for held in flows.values():
                held.homes = ()
        batch = self.homes_to_update[:HOMES_UPDATED_PER_TICK]
        del self.homes_to_update[:HOMES_UPDATED_PER_TICK]
        for flow in batch:
            held = flows.get(flow)
            if held is None:
                continue
            homes = choose_homes(flow, held.ingress.zone, self.catalogue.rings_by_zone)
            if homes != held.homes:
                self.register_holder(flow, held)

    def _second_home(self, flow: FlowKey, message: Message) -> int | None:
        """Return the other home to ask, unless this agent was asked by one."""
        if message.hops or flow in self.searches.running:
            return None
        homes = choose_homes(flow, message.ingress.zone, self.catalogue.rings_by_zone)
        others = [home for home in homes if home != self.host]
        return others[0] if others and self.host in homes else None

    def _search(
        self, segment: Segment, ingress: Ingress, hops: int, now: float
    ) -> None:
        """Send a packet to the agents that may hold its flow, the likely ones first."""
        flow = segment.flow
        if not self.catalogue.revision:
            # Who knows no other agent can neither ask nor rule them out. The balancer
            # tries another agent when this one stays silent.
            self.metrics.counters["find.not_loaded"] += 1
            return
        search = self.searches.get_active(flow, now)
        if search is None:
            search = self._start_search(flow, now)
        elif now - search.started_at > WIDEN_DELAY_S:
            search.widen()
        search.acknowledged = segment.acknowledged
        self.sender.send_flow(MessageKind.SEARCHING, ingress.host, flow, ingress)
        self._probe(segment, search.unanswered, ingress, hops)

    def _record_unanswered(self, flow: FlowKey, search: Search) -> None:
        self.metrics.counters["search.unanswered"] += 1
        log_event(
            "search_unanswered",
            flow=format_flow(flow),
            silent=",".join(sorted(format_host(host) for host in search.unanswered)),
            denied=len(search.denied),
        )

    def _start_search(self, flow: FlowKey, now: float) -> Search:
        unanswered = self.searches.finish(flow)
        if unanswered is not None:
            self._record_unanswered(flow, unanswered)
        first, deferred, is_complete = self._search_candidates(flow)
        self.metrics.counters["search.started"] += 1
        log_event(
            "search_started",
            flow=format_flow(flow),
            candidates=len(first),
            later=len(deferred),
            complete=is_complete,
            revision=self.catalogue.revision,
        )
        return self.searches.start(
            flow, first, deferred, is_complete=is_complete, now=now
        )

    def _probe(
        self, segment: Segment, hosts: set[int], ingress: Ingress, hops: int
    ) -> None:
        """Ask agents by giving them the packet."""
        for host in tuple(hosts):
            if host != self.host:
                self.metrics.counters["probe.sent"] += 1
                self.sender.forward(MessageKind.PROBE, host, segment, ingress, hops)
        if self.host in hosts:
            probe = Message(MessageKind.PROBE, hops, 0, ingress, 0, 0, segment.raw)
            self.probe_target(segment, probe)

    def _search_candidates(self, flow: FlowKey) -> tuple[set[int], set[int], bool]:
        """Return whom to ask first and later, and whether these are all."""
        catalogue = self.catalogue
        everyone = {*catalogue.target_by_host, *catalogue.departure_times}
        is_small = len(everyone) <= FIRST_CANDIDATES
        likely = list(everyone) if is_small else self._likely_holders(flow)
        first = {self.host, *likely[: MAX_CANDIDATES - 1]}
        rest = list(everyone - first)
        deferred = set(rest[: MAX_CANDIDATES - len(first)])
        # Entries lapse while the store is away. Who started before they were back
        # knows that by its own target's, and cannot rule anybody out.
        is_complete = self.host in catalogue.target_by_host and len(deferred) == len(
            rest
        )
        return first, deferred, is_complete

    def _likely_holders(self, flow: FlowKey) -> list[int]:
        """Return the agents among which the flow was placed, if little has changed."""
        catalogue = self.catalogue
        route = catalogue.routes.get(service_endpoint(flow))
        likely: list[int] = []
        for share in route.shares if route else ():
            targets = catalogue.targets_by_service.get(share.service, {}).values()
            drawn = select_by_rendezvous(targets, flow, FIRST_CANDIDATES)
            likely += [target.host for target in drawn]
        return likely

    def _widen_or_end(self, segment: Segment, search: Search, ingress: Ingress) -> None:
        """Ask the later candidates after the first have denied, or end the search."""
        deferred = search.widen()
        if deferred:
            self.metrics.counters["search.widened"] += 1
            self._probe(segment, deferred, ingress, 1)
        else:
            self._end_search(segment.flow, search)

    def _end_search(self, flow: FlowKey, search: Search) -> None:
        """Reset a flow that nobody holds, if everybody was asked."""
        self.searches.finish(flow)
        if search.is_complete:
            self.sender.reset_flow(flow, search.acknowledged, "nobody_holds")
            return
        self.metrics.counters["search.incomplete"] += 1
        log_event(
            "search_incomplete", flow=format_flow(flow), denied=len(search.denied)
        )
