"""Simulation of the packet path in virtual time.

`PacketSimulation` runs the decisions of balancers and agents against simulated callers,
routers, targets and delays between processes. It models these only as far as the
decisions depend on them, and opens no socket.
"""

import heapq
import itertools
import random
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

from plantainyoke.catalogue import (
    Catalogue,
    CatalogueChange,
    Route,
    RouteConfiguration,
    RouteShare,
    ServiceLimits,
    Target,
)
from plantainyoke.flows import FlowKey, Segment, decode_message
from plantainyoke.packet_agent import AgentTransport, PacketDelivery
from plantainyoke.packet_balancer import BalancerTransport, PacketSteering
from plantainyoke.packet_node import ALL_FEATURES, FeatureSettings
from plantainyoke.placement import ColdStartTolerance, FlowAdmission
from plantainyoke.platform import (
    PACKET_CODEC,
    parse_caller_packet,
    parse_target_packet,
)
from plantainyoke.telemetry import Metrics

HEADER = struct.Struct("!B5s4sIIIH4sHH4s")
SYN, RST, BOUNCED, ACK, FIN = 1, 2, 8, 32, 128
SAME_ZONE_DELAY_S = 0.0004
CROSS_ZONE_DELAY_S = 0.0035
SERVICE_TIME_S = 0.04
# Intervals at which the users' endpoints retransmit.
RETRANSMIT_INTERVALS_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)
REQUEST, ANSWER = b"request ", b"answer "
FIRST_PACKET_RETRANSMIT_DELAYS_S = (0.2, 0.6)
SERVICE_HOST = 0xC6120001  # 198.18.0.1
CALLER_HOST = 0x64400007  # 100.64.0.7
SERVICE_PORT = 443
TICK_INTERVAL_S = 0.02
LOAD_REPORT_INTERVAL_S = 0.25
QUERY_REPEAT_INTERVAL_S = 0.05
CONFIGURATION_APPLY_S = 3.0  # bound in the settings of the agents


def write_packet(
    flow: FlowKey,
    flags: int,
    *,
    sequence: int = 0,
    acknowledged: int = 0,
    payload: bytes = b"",
    from_target: bool = False,
) -> bytes:
    """Return a packet as the caller or the target of a flow sends it."""
    service, caller_port = flow[0:4], int.from_bytes(flow[4:6], "big")
    service_port, caller = int.from_bytes(flow[6:8], "big"), flow[8:12]
    endpoints = (service, caller_port, service_port, caller)
    if from_target:
        endpoints = (caller, service_port, caller_port, service)
    header = HEADER.pack(
        flags, b"", b"sum!", 0, sequence, acknowledged, len(payload), *endpoints
    )
    return header + payload


@dataclass
class FakeTarget:
    """Target that holds flows and answers requests.

    Attributes
    ----------
    simulation : PacketSimulation or PacketFleet
        Carries its packets and schedules its answers.
    host : int
    entry : Target
        Its entry in the catalogue.
    is_alive : bool
        Whether it handles packets; otherwise they are lost.
    is_accepting : bool
        Whether it accepts new flows; otherwise it bounces their first packets.
    slots : int, optional
        Requests on which it works at a time; further ones wait. None for no limit.
    reset_share : float
        Share of the requests that it resets instead of answering them.
    work_time_s : float
        Time that it works on each request.
    slots_free_at : list of float
        Time at which each slot has completed the requests that it was given.
    flows, half_open_flows : dict of FlowKey to int
        Initial sequence number that it sent for each flow.
    opened_flows : list of (float, FlowKey)
        Time at which each flow opened.
    received : list of (float, FlowKey)
        Arrival time of each packet.
    """

    simulation: "PacketSimulation"
    host: int
    entry: Target
    is_alive: bool = True
    is_accepting: bool = True
    slots: int | None = None
    reset_share: float = 0.0
    work_time_s: float = SERVICE_TIME_S
    slots_free_at: list[float] = field(default_factory=list)
    flows: dict[FlowKey, int] = field(default_factory=dict)
    half_open_flows: dict[FlowKey, int] = field(default_factory=dict)
    opened_flows: list[tuple[float, FlowKey]] = field(default_factory=list)
    received: list[tuple[float, FlowKey]] = field(default_factory=list)

    def receive(self, packet: bytes) -> None:
        """Handle a packet that the agent delivers."""
        if not self.is_alive:
            return
        segment = parse_caller_packet(packet)
        flow = segment.flow
        self.received.append((self.simulation.now, flow))
        if segment.opens:
            self._accept(flow, packet)
            return
        initial_sequence = self.half_open_flows.get(flow)
        if (
            initial_sequence is not None
            and segment.acknowledged == initial_sequence + 1
        ):
            self.flows[flow] = self.half_open_flows.pop(flow)
            self.opened_flows.append((self.simulation.now, flow))
        if flow not in self.flows:
            self._bounce(packet)
        elif segment.resets:
            del self.flows[flow]
        elif segment.payload_size:
            self.simulation.call_later(
                self._schedule_request(), lambda: self._answer(flow, segment)
            )

    def _schedule_request(self) -> float:
        """Return the time to the answer of one more request."""
        if self.slots is None:
            return self.work_time_s
        now = self.simulation.now
        if len(self.slots_free_at) < self.slots:
            self.slots_free_at += [now] * (self.slots - len(self.slots_free_at))
        starts_at = max(now, heapq.heappop(self.slots_free_at))
        heapq.heappush(self.slots_free_at, starts_at + self.work_time_s)
        return starts_at + self.work_time_s - now

    def lose_flows(self) -> None:
        """Drop all flows without a reset, as a crash does."""
        self.flows.clear()
        self.half_open_flows.clear()

    def crash(self) -> None:
        """Stop without sending resets; later packets get no answer."""
        self.lose_flows()
        self.is_alive = False

    def _accept(self, flow: FlowKey, packet: bytes) -> None:
        if not self.is_accepting:
            self._bounce(packet)
            return
        sequence = self.half_open_flows.setdefault(
            flow, self.simulation.rng.getrandbits(31)
        )
        self._send(write_packet(flow, SYN | ACK, sequence=sequence, from_target=True))

    def _answer(self, flow: FlowKey, segment: Segment) -> None:
        if self.is_alive and flow in self.flows:
            if self.reset_share and self.simulation.rng.random() < self.reset_share:
                del self.flows[flow]
                self._send(write_packet(flow, RST, from_target=True))
                return
            self._send(
                write_packet(
                    flow,
                    ACK,
                    acknowledged=segment.sequence + segment.payload_size,
                    payload=ANSWER + segment.raw[HEADER.size + len(REQUEST) :],
                    from_target=True,
                )
            )

    def _bounce(self, packet: bytes) -> None:
        self._send(bytes((packet[0] | BOUNCED,)) + packet[1:])

    def _send(self, packet: bytes) -> None:
        self.simulation.send_from_target(self.host, packet)


@dataclass
class FakeCaller:
    """One flow of a caller, sent through the balancer that the router selects.

    Attributes
    ----------
    simulation : PacketSimulation or PacketFleet
        Carries its packets and schedules its retransmissions.
    flow : FlowKey
    is_open : bool
    reset_at : float, optional
        Time of the first reset that arrived.
    sequence, acknowledged : int
        Numbers that its next packet carries.
    last_requested, last_answered : int
        Number of the newest request sent, and of the newest one answered.
    """

    simulation: "PacketSimulation"
    flow: FlowKey
    is_open: bool = False
    reset_at: float | None = None
    sequence: int = 1
    acknowledged: int = 0
    last_requested: int = 0
    last_answered: int = 0

    def open(self) -> None:
        """Send the first packet; retransmit it until the flow is open or reset."""
        for copy, delay in enumerate((0.0, *FIRST_PACKET_RETRANSMIT_DELAYS_S)):
            self.simulation.call_later(delay, lambda copy=copy: self._send_first(copy))

    def send_request(self) -> None:
        """Send one request; retransmit it until it is answered or the flow is reset.

        Retransmission ends after the last of ``RETRANSMIT_INTERVALS_S``.
        """
        self.last_requested += 1
        payload = REQUEST + str(self.last_requested).encode()
        packet = self._write(payload)
        self.sequence += len(payload)
        self._transmit(self.last_requested, packet, 0)

    def receive(self, packet: bytes) -> None:
        """Handle a packet that arrives for this flow."""
        flags = packet[0]
        if flags & RST:
            if self.reset_at is None:
                self.reset_at = self.simulation.now
        elif flags & SYN and not self.is_open:
            self.is_open = True
            self.acknowledged = int.from_bytes(packet[14:18], "big") + 1
            self.simulation.send_from_caller(self._write(b""))
        elif len(packet) > HEADER.size:
            number = int(packet[HEADER.size + len(ANSWER) :])
            self.last_answered = max(self.last_answered, number)

    def _send_first(self, copy: int) -> None:
        if not self.is_open and self.reset_at is None:
            packet = write_packet(self.flow, SYN, acknowledged=copy)
            self.simulation.send_from_caller(packet)

    def _transmit(self, number: int, packet: bytes, attempt: int) -> None:
        if self.last_answered >= number or self.reset_at is not None:
            return
        self.simulation.send_from_caller(packet)
        if attempt < len(RETRANSMIT_INTERVALS_S):
            delay = RETRANSMIT_INTERVALS_S[attempt]
            self.simulation.call_later(
                delay, lambda: self._transmit(number, packet, attempt + 1)
            )

    def _write(self, payload: bytes) -> bytes:
        return write_packet(
            self.flow,
            ACK,
            sequence=self.sequence,
            acknowledged=self.acknowledged,
            payload=payload,
        )


@dataclass
class Process:
    """A simulated balancer or agent.

    Attributes
    ----------
    zone : str
    catalogue : Catalogue
        Its copy of the published catalogue.
    packet_handler : PacketSteering or PacketDelivery
    is_alive : bool
    is_subscribed : bool
        Whether it receives published changes.
    """

    zone: str
    catalogue: Catalogue
    packet_handler: PacketSteering | PacketDelivery
    is_alive: bool = True
    is_subscribed: bool = True


class PacketSimulation:
    """Balancers, agents, targets and callers in virtual time.

    Parameters
    ----------
    services : dict of str to int
        Number of targets by service.
    balancers : int, default=3
    zones : tuple of str, default=("a", "b", "c")
        Zones to which balancers and the targets of each service are assigned round
        robin.
    seed : int, default=0
    aim_s : float, default=0.0
        Time in which the route's callers want an answer, 0 for none.
    slots : int, optional
        Requests on which each target works at a time. By default they are entered with
        4, but work on any number.
    loss : float, default=0.0
        Share of the messages between processes that are lost.
    timeout_s : float, default=0.0
        Time after which the route's callers give up a request, 0 if not stated.
    is_idempotent : bool, default=False
        Whether the route's callers may repeat requests after any failure.
    features : FeatureSettings, optional
        By default all features are on.
    """

    def __init__(
        self,
        services: dict[str, int],
        *,
        balancers: int = 3,
        zones: tuple[str, ...] = ("a", "b", "c"),
        seed: int = 0,
        aim_s: float = 0.0,
        slots: int | None = None,
        loss: float = 0.0,
        timeout_s: float = 0.0,
        is_idempotent: bool = False,
        features: FeatureSettings = ALL_FEATURES,
    ) -> None:
        self.services = services
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.loss = loss
        self.features = features
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_numbers = itertools.count()
        self.ports = itertools.count(40_000)
        self.callers: dict[FlowKey, FakeCaller] = {}
        self.targets: dict[int, FakeTarget] = {}
        self.processes: dict[int, Process] = {}
        self.metrics: dict[int, Metrics] = {}
        self.partitioned_pairs: set[frozenset[int]] = set()
        self.select_balancer: Callable[[FlowKey], int] = self.select_by_hash
        self.published = Catalogue()
        self.configuration = RouteConfiguration(
            1,
            (
                Route(
                    "orders",
                    SERVICE_HOST,
                    SERVICE_PORT,
                    (RouteShare(next(iter(services)), 1),),
                    aim_s,
                    timeout_s,
                    is_idempotent=is_idempotent,
                ),
            ),
            {name: ServiceLimits(2000, 2.0, 0.0) for name in services},
        )
        hosts = itertools.count(10)
        entries = []
        for service, count in services.items():
            for index in range(count):
                host = next(hosts)
                zone = zones[index % len(zones)]
                entry = Target(f"t{host}", service, host, 9000, zone, slots or 4)
                entries.append(entry)
                self.targets[host] = FakeTarget(self, host, entry, slots=slots)
        self.balancers = list(range(100, 100 + balancers))
        self.zone_by_host = {entry.host: entry.zone for entry in entries}
        for index, host in enumerate(self.balancers):
            self.zone_by_host[host] = zones[index % len(zones)]
        self.publish(
            configuration=self.configuration, targets=tuple(entries), zones_out=()
        )
        for host in self.balancers:
            self.start_balancer(host)
        for entry in entries:
            self.start_agent(entry.host, is_bootstrap=True)

    # Processes.

    def start_balancer(self, host: int) -> PacketSteering:
        """Start a balancer with empty tables."""
        catalogue = self._new_catalogue()
        steering = PacketSteering(
            host=host,
            zone=self.zone_by_host[host],
            catalogue=catalogue,
            transport=BalancerTransport(
                send_to_agent=lambda to, datagram: self.transmit(host, to, datagram),
                send_to_caller=self.send_to_caller,
            ),
            codec=PACKET_CODEC,
            metrics=self._get_metrics(host),
            features=self.features,
        )
        self._add_process(host, catalogue, steering)
        return steering

    def start_agent(
        self, host: int, *, is_bootstrap: bool = False, has_catalogue: bool = True
    ) -> PacketDelivery:
        """Start an agent with empty tables.

        Parameters
        ----------
        host : int
        is_bootstrap : bool, default=False
            Whether its target holds no flows from before this start; otherwise the
            agent offers packets of flows that it does not know to the target.
        has_catalogue : bool, default=True
            Whether it starts with the published catalogue. Otherwise it starts with an
            empty one and applies a snapshot at the next published change.
        """
        catalogue = self._new_catalogue() if has_catalogue else Catalogue()
        admission = FlowAdmission(catalogue, host, 1.0, ColdStartTolerance(1.5, 5))
        delivery = PacketDelivery(
            host=host,
            catalogue=catalogue,
            admission=admission,
            transport=AgentTransport(
                send_to_target=lambda packet: self.targets[host].receive(packet),
                send_to_caller=self.send_to_caller,
                send_to_host=lambda to, datagram: self.transmit(host, to, datagram),
            ),
            codec=PACKET_CODEC,
            metrics=self._get_metrics(host),
            started_at=self.now,
            complete_since=float("-inf") if is_bootstrap else self.now,
            configuration_apply_s=CONFIGURATION_APPLY_S,
            features=self.features,
        )
        catalogue.listeners.append(
            lambda _: delivery.handle_target_change(self.now, unix_s=self.now)
        )
        delivery.handle_target_change(self.now, unix_s=self.now)
        self._add_process(host, catalogue, delivery)
        return delivery

    def kill(self, *hosts: int) -> None:
        """Stop processes; their targets continue to run."""
        for host in hosts:
            self.processes[host].is_alive = False

    def restart(self, *hosts: int) -> None:
        """Stop processes and start them with empty tables."""
        for host in hosts:
            self.kill(host)
            if host in self.targets:
                self.start_agent(host)
            else:
                self.start_balancer(host)

    def get_agent(self, host: int) -> PacketDelivery:
        """Return the packet handler of an agent."""
        return self.processes[host].packet_handler

    def get_balancer(self, host: int) -> PacketSteering:
        """Return the packet handler of a balancer."""
        return self.processes[host].packet_handler

    # Published state.

    def publish(self, **changes) -> None:
        """Publish a change; subscribed processes apply it after a delay."""
        since = self.published.revision
        change = CatalogueChange(since, since + 1, **changes)
        self.published.apply(change, self.now)
        for process in self.processes.values():
            if process.is_alive and process.is_subscribed:
                self.call_later(
                    CROSS_ZONE_DELAY_S, lambda p=process: self._apply(p, change)
                )

    def publish_shares(self, **weights: int) -> None:
        """Publish a configuration that splits the route by these weights."""
        shares = tuple(RouteShare(name, weight) for name, weight in weights.items())
        self.configuration = RouteConfiguration(
            self.configuration.version + 1,
            (Route("orders", SERVICE_HOST, SERVICE_PORT, shares),),
            self.configuration.services,
        )
        self.publish(configuration=self.configuration)

    # Callers.

    def open_flow(self) -> FakeCaller:
        """Open a flow of a new caller."""
        flow = (
            SERVICE_HOST.to_bytes(4, "big")
            + next(self.ports).to_bytes(2, "big")
            + SERVICE_PORT.to_bytes(2, "big")
            + CALLER_HOST.to_bytes(4, "big")
        )
        caller = self.callers[flow] = FakeCaller(self, flow)
        caller.open()
        return caller

    def find_holder(self, caller: FakeCaller) -> int | None:
        """Return the host of the target that holds a flow, or None."""
        for host, target in self.targets.items():
            if caller.flow in target.flows:
                return host
        return None

    # Time and the network.

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call a function after a delay."""
        heapq.heappush(
            self.events, (self.now + delay_s, next(self.event_numbers), callback)
        )

    def advance(self, duration_s: float) -> None:
        """Advance virtual time; call what is due on the way."""
        end = self.now + duration_s
        while self.events and self.events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
        self.now = end

    def transmit(self, source: int, host: int, datagram: bytes) -> None:
        """Deliver a datagram to another process after a delay, unless it is lost."""
        if (
            frozenset((source, host)) in self.partitioned_pairs
            or self.rng.random() < self.loss
        ):
            return
        is_same_zone = self.zone_by_host.get(source) == self.zone_by_host.get(host)
        delay = (
            SAME_ZONE_DELAY_S if is_same_zone else CROSS_ZONE_DELAY_S
        ) * self.rng.uniform(0.8, 1.3)
        self.call_later(delay, lambda: self._receive(source, host, datagram))

    def send_from_caller(self, packet: bytes) -> None:
        """Deliver a caller's packet to the balancer that the router selects."""
        flow = parse_caller_packet(packet).flow
        host = self.select_balancer(flow)
        process = self.processes.get(host)
        if process is not None and process.is_alive:
            segment = parse_caller_packet(packet)
            process.packet_handler.receive_from_caller(segment, self.now)

    def send_from_target(self, host: int, packet: bytes) -> None:
        """Deliver a target's packet to the agent beside it."""
        process = self.processes[host]
        if process.is_alive:
            segment = parse_target_packet(packet)
            process.packet_handler.receive_from_target(segment, self.now)

    def send_to_caller(self, flow: FlowKey, packet: bytes) -> None:
        """Deliver a packet to the caller of a flow after a delay."""
        caller = self.callers[flow]
        self.call_later(CROSS_ZONE_DELAY_S, lambda: caller.receive(packet))

    def _receive(self, source: int, host: int, datagram: bytes) -> None:
        process = self.processes.get(host)
        if process is not None and process.is_alive:
            message = decode_message(datagram)
            process.packet_handler.receive_message(message, source, self.now)

    def select_by_hash(self, flow: FlowKey) -> int:
        """Select a running balancer, or any if none runs, by the caller's port."""
        candidates = [host for host in self.balancers if self.processes[host].is_alive]
        candidates = candidates or self.balancers
        return candidates[int.from_bytes(flow[4:6], "big") % len(candidates)]

    def _new_catalogue(self) -> Catalogue:
        catalogue = Catalogue()
        catalogue.apply(self.published.snapshot(self.now), self.now)
        return catalogue

    def _apply(self, process: Process, change: CatalogueChange) -> None:
        if not process.catalogue.apply(change, self.now):
            process.catalogue.apply(self.published.snapshot(self.now), self.now)

    def _get_metrics(self, host: int) -> Metrics:
        return self.metrics.setdefault(host, Metrics())

    def _add_process(self, host: int, catalogue: Catalogue, packet_handler) -> None:
        process = Process(self.zone_by_host[host], catalogue, packet_handler)
        self.processes[host] = process
        tick = self._tick_agent if host in self.targets else self._tick_balancer
        self.call_later(TICK_INTERVAL_S, lambda: tick(process))
        if host in self.targets:
            self.call_later(
                QUERY_REPEAT_INTERVAL_S, lambda: self._repeat_queries(process)
            )

    def _tick_balancer(self, process: Process) -> None:
        if process.is_alive:
            process.packet_handler.tick(self.now)
            process.packet_handler.expire(self.now)
            self.call_later(TICK_INTERVAL_S, lambda: self._tick_balancer(process))

    def _tick_agent(self, process: Process) -> None:
        if process.is_alive:
            process.packet_handler.send_load_reports(self.now)
            process.packet_handler.tick(self.now)
            self.call_later(LOAD_REPORT_INTERVAL_S, lambda: self._tick_agent(process))

    def _repeat_queries(self, process: Process) -> None:
        if process.is_alive:
            process.packet_handler.finder.repeat_queries(self.now)
            self.call_later(
                QUERY_REPEAT_INTERVAL_S, lambda: self._repeat_queries(process)
            )
