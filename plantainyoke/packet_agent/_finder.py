"""Lookup of the holders of flows that other targets hold.

As a home, an agent forwards a packet to the holder to which it has a pointer, or
searches for the holder by probing other agents. It also registers the flows of its own
target at their homes.

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
    Knowledge,
    Message,
    MessageKind,
    Search,
    SearchTable,
    Segment,
    choose_homes,
    format_flow,
    get_service_endpoint,
)
from plantainyoke.network import format_host
from plantainyoke.packet_agent._deferred_searches import DeferredSearches
from plantainyoke.packet_agent._sender import MessageSender
from plantainyoke.placement import select_by_rendezvous
from plantainyoke.telemetry import Metrics, log_event

FIRST_CANDIDATES = 32  # probed first: twice the targets compared in a placement
MAX_CANDIDATES = 256  # agents probed in one search
POINTER_TIMEOUT_S = 600.0  # pointers are refreshed after half of this time
HOMES_UPDATED_PER_TICK = 200  # flows that are registered again in one tick


class HolderFinder:
    """Keeps pointers as a home, searches for holders, and registers the target's flows.

    Parameters
    ----------
    host : int
        Host of the agent.
    catalogue : Catalogue
    sender : MessageSender
    metrics : Metrics
    probe_target : callable
        Delivers a packet to this agent's target, or denies, as a PROBE of another
        agent does; called with the segment and the message.

    Attributes
    ----------
    holder_table : HolderTable
        Pointers that this agent keeps as a home.
    searches : SearchTable
    deferred : DeferredSearches
        Searches that start after those of packets with data.
    homes_to_update : list of bytes
        Flows of this agent's target whose homes may have changed.
    refreshed_at : float
        Time at which the flows were last scheduled to be registered at all homes
        again, in seconds.
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
        self.deferred = DeferredSearches()
        self.homes_to_update: list[FlowKey] = []
        self.refreshed_at = 0.0

    def forward_to_holder(self, segment: Segment, message: Message, now: float) -> None:
        """Forward a packet to the holder of its flow, or search for the holder.

        Without a pointer, the flow's other home is tried before a search.
        """
        flow = segment.flow
        holder = self.holder_table.find(flow)
        if holder is not None and holder != self.host:
            self.metrics.counters["find.home_knew"] += 1
            self.sender.forward(
                MessageKind.FORWARD, holder, segment, message.ingress, message.hops
            )
            return
        second_home = self._choose_second_home(flow, message)
        if second_home is not None:
            self.metrics.counters["find.second_home"] += 1
            self.sender.forward(
                MessageKind.FIND, second_home, segment, message.ingress, message.hops
            )
            return
        self._search_holder(segment, message.ingress, message.hops, now)

    def record_denial(
        self, segment: Segment, source: int, ingress: Ingress, now: float
    ) -> None:
        """Record that an agent returned a packet because it does not hold the flow.

        If this agent's pointer named that agent, the pointer is removed and a search
        started.
        """
        flow = segment.flow
        if flow in self.searches.running:
            self._record_query_denial(flow, source, now)
        elif self.holder_table.find(flow) == source:
            # The pointer was stale.
            self.holder_table.remove(flow, source)
            self.metrics.counters["hint.wrong"] += 1
            self._search_holder(segment, ingress, 1, now)

    def record_answer(
        self, flow: FlowKey, source: int, knowledge: Knowledge, now: float
    ) -> None:
        """Record a candidate's answer to a query or to a packet."""
        if knowledge == Knowledge.DENIES:
            self._record_query_denial(flow, source, now)
            return
        search = self.searches.running.get(flow)
        if search is not None and source in search.unanswered:
            search.unsure.add(source)
            self._send_packet(search, source)

    def _record_query_denial(self, flow: FlowKey, source: int, now: float) -> None:
        search = self.searches.record_denial(flow, source)
        if search is not None:
            self._check_denials(flow, search, now)

    def _check_denials(self, flow: FlowKey, search: Search, now: float) -> None:
        """Widen or end a search that all candidates so far denied."""
        if search.is_denied_by_all(self.catalogue.target_by_host, now):
            self._widen_or_end_search(flow, search, now)

    def record_holder(self, flow: FlowKey, holder: int, now: float) -> None:
        """Store a pointer to the holder of a flow, and end the flow's search."""
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
        """Register this agent at a flow's homes as the flow's holder."""
        homes = choose_homes(flow, held.ingress.zone, self.catalogue.rings_by_zone)
        held.homes = homes
        for home in homes:
            if home != self.host:
                self.sender.send(
                    MessageKind.REGISTER_HOLDER, home, flow, ingress=held.ingress
                )

    def tick(self, flows: dict[FlowKey, HeldFlow], now: float) -> None:
        """Expire pointers and searches, and update homes.

        Parameters
        ----------
        flows : dict of bytes to HeldFlow
            Flows that this agent's target holds.
        now : float
        """
        self.holder_table.expire(now, POINTER_TIMEOUT_S)
        for flow, search in self.searches.expire(now):
            self._record_unanswered(flow, search)
        self._update_homes(flows, now)

    def _update_homes(self, flows: dict[FlowKey, HeldFlow], now: float) -> None:
        """Register flows at changed homes, in batches.

        All flows are registered again at all homes before the pointers expire.
        """
        if now - self.refreshed_at > POINTER_TIMEOUT_S / 2:
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

    def _choose_second_home(self, flow: FlowKey, message: Message) -> int | None:
        """Return the flow's other home, which may have a pointer.

        Returns
        -------
        int or None
            None if this agent is not a home, if there is no other, if the message was
            forwarded already, perhaps by that home, or if a search is in progress.
        """
        if message.hops or flow in self.searches.running:
            return None
        homes = choose_homes(flow, message.ingress.zone, self.catalogue.rings_by_zone)
        others = [home for home in homes if home != self.host]
        return others[0] if others and self.host in homes else None

    def _search_holder(
        self, segment: Segment, ingress: Ingress, hops: int, now: float
    ) -> None:
        """Probe the agents that may hold a flow with its packet, likely ones first."""
        flow = segment.flow
        if not self.catalogue.revision:
            # Without a catalogue, this agent can neither probe other agents nor rule
            # them out. It does not answer; the balancer times out and asks another.
            self.metrics.counters["find.not_loaded"] += 1
            return
        search = self.searches.get_active(flow, now)
        if search is None and self.deferred.try_defer(segment, ingress, hops, now):
            self.metrics.counters["search.deferred"] += 1
            self.sender.send_flow(MessageKind.SEARCHING, ingress.host, flow, ingress)
            return
        if search is None:
            search = self._start_search(segment, ingress, hops, now)
            queried = search.unanswered
        else:
            search.segment, search.ingress, search.hops = segment, ingress, hops
            queried = search.unanswered - search.unsure
            for host in tuple(search.unsure):
                self._send_packet(search, host)
        self.sender.send_flow(MessageKind.SEARCHING, ingress.host, flow, ingress)
        self._query_hosts(search, queried)

    def _record_unanswered(self, flow: FlowKey, search: Search) -> None:
        self.metrics.counters["search.unanswered"] += 1
        log_event(
            "search_unanswered",
            flow=format_flow(flow),
            silent=",".join(sorted(format_host(host) for host in search.unanswered)),
            denied=len(search.denied),
        )

    def _start_search(
        self, segment: Segment, ingress: Ingress, hops: int, now: float
    ) -> Search:
        flow = segment.flow
        unanswered = self.searches.finish(flow)
        if unanswered is not None:
            self._record_unanswered(flow, unanswered)
        first, deferred, is_complete = self._select_candidates(flow)
        self.metrics.counters["search.started"] += 1
        log_event(
            "search_started",
            flow=format_flow(flow),
            candidates=len(first),
            later=len(deferred),
            complete=is_complete,
            revision=self.catalogue.revision,
        )
        search = Search(now, now, first, deferred, is_complete, segment, ingress, hops)
        self.searches.start(flow, search)
        return search

    def repeat_queries(self, now: float) -> None:
        """Widen the running searches, and repeat the queries that were not answered.

        A batch of the deferred searches starts.
        """
        for due in self.deferred.take_due(now):
            self._search_holder(due.segment, due.ingress, due.hops, now)
        for flow, search in tuple(self.searches.running.items()):
            if search.deferred and now - search.started_at > WIDEN_DELAY_S:
                self._query_hosts(search, search.widen(now))
            elif search.is_repeat_due(now):
                published = self.catalogue.target_by_host
                silent = search.unanswered - search.unsure
                self.metrics.counters["retry.query_timeout"] += len(silent)
                self._query_hosts(
                    search, {host for host in silent if host in published}
                )
            if flow in self.searches.running:
                self._check_denials(flow, search, now)

    def _query_hosts(self, search: Search, hosts: set[int]) -> None:
        """Ask agents whether their targets hold a flow; probe the own target."""
        flow = search.segment.flow
        for host in tuple(hosts):
            if host != self.host:
                self.metrics.counters["query.sent"] += 1
                self.sender.send(MessageKind.QUERY, host, flow, ingress=search.ingress)
        if self.host in hosts:
            search.unsure.add(self.host)
            self._send_packet(search, self.host)

    def _send_packet(self, search: Search, host: int) -> None:
        """Send a flow's packet to an agent, which delivers it or denies the flow."""
        if host != self.host:
            self.metrics.counters["probe.sent"] += 1
            self.sender.forward(
                MessageKind.PROBE, host, search.segment, search.ingress, search.hops
            )
            return
        probe = Message(
            MessageKind.PROBE, search.hops, 0, search.ingress, 0, 0, search.segment.raw
        )
        self.probe_target(search.segment, probe)

    def _select_candidates(self, flow: FlowKey) -> tuple[set[int], set[int], bool]:
        """Select the hosts to probe for a flow.

        Returns
        -------
        first, deferred : set of int
            Hosts to probe at once, and those to probe if none of them holds the flow.
        is_complete : bool
            Whether these are all hosts that may hold the flow.
        """
        catalogue = self.catalogue
        known_hosts = {*catalogue.target_by_host, *catalogue.departure_times}
        is_small = len(known_hosts) <= FIRST_CANDIDATES
        likely = list(known_hosts) if is_small else self._select_likely_holders(flow)
        first = {self.host, *likely[: MAX_CANDIDATES - 1]}
        remaining = list(known_hosts - first)
        deferred = set(remaining[: MAX_CANDIDATES - len(first)])
        # Targets' entries lapse while the store is unreachable. An agent that started
        # before they were renewed lacks the entry of its own target too. Entries of
        # other targets may then be missing as well, so no agent can be ruled out.
        is_complete = self.host in catalogue.target_by_host and len(deferred) == len(
            remaining
        )
        return first, deferred, is_complete

    def _select_likely_holders(self, flow: FlowKey) -> list[int]:
        """Return the hosts among which the flow was probably placed.

        The set is that of the placement except for targets added or removed since.
        """
        catalogue = self.catalogue
        route = catalogue.routes.get(get_service_endpoint(flow))
        likely: list[int] = []
        for share in route.shares if route else ():
            targets = catalogue.targets_by_service.get(share.service, {}).values()
            drawn = select_by_rendezvous(targets, flow, FIRST_CANDIDATES)
            likely += [target.host for target in drawn]
        return likely

    def _widen_or_end_search(self, flow: FlowKey, search: Search, now: float) -> None:
        """Query the deferred candidates, or end the search if there are none."""
        deferred = search.widen(now)
        if deferred:
            self.metrics.counters["search.widened"] += 1
            self._query_hosts(search, deferred)
        else:
            self._end_search(flow, search)

    def _end_search(self, flow: FlowKey, search: Search) -> None:
        """End a search without a holder, and reset the flow if it was complete."""
        self.searches.finish(flow)
        if search.is_complete:
            acknowledged = search.segment.acknowledged
            self.sender.reset_flow(flow, acknowledged, "nobody_holds")
            return
        self.metrics.counters["search.incomplete"] += 1
        log_event(
            "search_incomplete", flow=format_flow(flow), denied=len(search.denied)
        )
