"""A world in virtual time for the decisions of the packet path.

Callers, routers, targets and the network between processes, as far as the decisions
of balancers and agents depend on them. Nothing here opens a socket.
"""

import heapq
import itertools
import random
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

from plantainyoke.catalogue import (
    Catalogue,
    Change,
    Configuration,
    Route,
    ServiceLimits,
    Share,
    Target,
)
from plantainyoke.flows import FlowKey, Segment, decode_message
from plantainyoke.packet_agent import AgentPorts, Delivery
from plantainyoke.packet_balancer import BalancerPorts, Steering
from plantainyoke.placement import ColdTolerance, Gate
from plantainyoke.platform import (
    CODEC,
    parse_caller_packet,
    parse_target_packet,
)
from plantainyoke.telemetry import Metrics

HEADER = struct.Struct("!B5s4sIIIH4sHH4s")
SYN, RST, BOUNCED, ACK, FIN = 1, 2, 8, 32, 128
HOP_S = 0.0004  # between two processes of one zone
CROSS_S = 0.0035  # between zones
SERVE_S = 0.04
RETRANSMIT_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)  # as the users' ends do
REQUEST, ANSWER = b"request ", b"answer "
COPIES_S = (0.2, 0.6)
SERVICE_HOST = 0xC6120001  # 198.18.0.1
CALLER_HOST = 0x64400007  # 100.64.0.7
PORT = 443
TICK_S = 0.02
REPORT_S = 0.25


def write_packet(
    flow: FlowKey,
    flags: int,
    *,
    sequence: int = 0,
    acknowledged: int = 0,
    payload: bytes = b"",
    from_target: bool = False,
) -> bytes:
    """Return a packet as one end of a flow writes it."""
    service, caller_port = flow[0:4], int.from_bytes(flow[4:6], "big")
    service_port, caller = int.from_bytes(flow[6:8], "big"), flow[8:12]
    ends = (service, caller_port, service_port, caller)
    if from_target:
        ends = (caller, service_port, caller_port, service)
    head = HEADER.pack(
        flags, b"", b"sum!", 0, sequence, acknowledged, len(payload), *ends
    )
    return head + payload


@dataclass
class FakeTarget:
    """A target that holds flows and answers each request after ``SERVE_S``."""

    world: "PacketWorld"
    host: int
    entry: Target
    alive: bool = True
    accepts: bool = True
    flows: dict[FlowKey, int] = field(default_factory=dict)
    pending: dict[FlowKey, int] = field(default_factory=dict)
    opened: list[tuple[float, FlowKey]] = field(default_factory=list)
    received: list[tuple[float, FlowKey]] = field(default_factory=list)

    def receive(self, packet: bytes) -> None:
        """Handle a packet that the agent delivers."""
        if not self.alive:
            return
        segment = parse_caller_packet(packet)
        flow = segment.flow
        self.received.append((self.world.now, flow))
        if segment.opens:
            self._accept(flow, packet)
            return
        offered = self.pending.get(flow)
        if offered is not None and segment.acknowledged == offered + 1:
            self.flows[flow] = self.pending.pop(flow)
            self.opened.append((self.world.now, flow))
        if flow not in self.flows:
            self._bounce(packet)
        elif segment.resets:
            del self.flows[flow]
        elif segment.payload_size:
            self.world.at(SERVE_S, lambda: self._answer(flow, segment))

    def restart(self) -> None:
        """Forget everything, as a crash does."""
        self.flows.clear()
        self.pending.clear()

    def crash(self) -> None:
        """End; nothing is said to anybody."""
        self.restart()
        self.alive = False

    def _accept(self, flow: FlowKey, packet: bytes) -> None:
        if not self.accepts:
            self._bounce(packet)
            return
        sequence = self.pending.setdefault(flow, self.world.random.getrandbits(31))
        self._send(write_packet(flow, SYN | ACK, sequence=sequence, from_target=True))

    def _answer(self, flow: FlowKey, segment: Segment) -> None:
        if self.alive and flow in self.flows:
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
        self.world.from_target(self.host, packet)


@dataclass
class FakeCaller:
    """One flow of a caller, through whichever balancer the router selects."""

    world: "PacketWorld"
    flow: FlowKey
    opened: bool = False
    reset_at: float | None = None
    sequence: int = 1
    acknowledged: int = 0
    asked: int = 0
    answered: int = 0
    tries: int = 0

    def open(self) -> None:
        """Send the first packet and its copies."""
        for delay in (0.0, *COPIES_S):
            self.world.at(delay, self._send_first)

    def ask(self) -> None:
        """Send one request and retransmit it until it is answered."""
        self.asked += 1
        self._transmit(self.asked, 0)

    def receive(self, packet: bytes) -> None:
        """Handle a packet that arrives for this flow."""
        flags = packet[0]
        if flags & RST:
            if self.reset_at is None:
                self.reset_at = self.world.now
        elif flags & SYN and not self.opened:
            self.opened = True
            self.acknowledged = int.from_bytes(packet[14:18], "big") + 1
            self.world.route(self._write(b""))
        elif len(packet) > HEADER.size:
            number = int(packet[HEADER.size + len(ANSWER) :])
            self.answered = max(self.answered, number)

    def _send_first(self) -> None:
        if not self.opened and self.reset_at is None:
            self.world.route(write_packet(self.flow, SYN))

    def _transmit(self, number: int, attempt: int) -> None:
        if self.answered >= number or self.reset_at is not None:
            return
        self.world.route(self._write(REQUEST + str(number).encode()))
        if attempt < len(RETRANSMIT_S):
            delay = RETRANSMIT_S[attempt]
            self.world.at(delay, lambda: self._transmit(number, attempt + 1))

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
    """A balancer's or an agent's decisions with their own catalogue."""

    zone: str
    catalogue: Catalogue
    decisions: Steering | Delivery
    alive: bool = True
    follows: bool = True


class PacketWorld:
    """Balancers, agents, targets and callers in virtual time.

    Parameters
    ----------
    services : dict of str to int
        Number of targets by service.
    balancers : int
    zones : tuple of str
    seed : int
    loss : float
        Share of the messages between processes that are lost.
    """

    def __init__(
        self,
        services: dict[str, int],
        *,
        balancers: int = 3,
        zones: tuple[str, ...] = ("a", "b", "c"),
        seed: int = 0,
        loss: float = 0.0,
    ) -> None:
        self.services = services
        self.random = random.Random(seed)
        self.now = 1000.0
        self.loss = loss
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.ports = itertools.count(40_000)
        self.callers: dict[FlowKey, FakeCaller] = {}
        self.targets: dict[int, FakeTarget] = {}
        self.processes: dict[int, Process] = {}
        self.metrics: dict[int, Metrics] = {}
        self.cut: set[frozenset[int]] = set()
        self.router: Callable[[FlowKey], int] = self._hash_route
        self.published = Catalogue()
        self.configuration = Configuration(
            1,
            (Route("orders", SERVICE_HOST, PORT, (Share(next(iter(services)), 1),)),),
            {name: ServiceLimits(2000, 2.0, 0.0) for name in services},
        )
        hosts = itertools.count(10)
        entries = []
        for service, count in services.items():
            for index in range(count):
                host = next(hosts)
                zone = zones[index % len(zones)]
                entry = Target(f"t{host}", service, host, 9000, zone, 4)
                entries.append(entry)
                self.targets[host] = FakeTarget(self, host, entry)
        self.balancers = list(range(100, 100 + balancers))
        self.zone_of = {entry.host: entry.zone for entry in entries}
        for index, host in enumerate(self.balancers):
            self.zone_of[host] = zones[index % len(zones)]
        self.publish(
            configuration=self.configuration, targets=tuple(entries), zones_out=()
        )
        for host in self.balancers:
            self.start_balancer(host)
        for entry in entries:
            self.start_agent(entry.host, first_start=True)

    # Processes.

    def start_balancer(self, host: int) -> Steering:
        """Start a balancer that remembers nothing."""
        catalogue = self._new_catalogue()
        steering = Steering(
            host=host,
            zone=self.zone_of[host],
            catalogue=catalogue,
            ports=BalancerPorts(
                to_agent=lambda to, datagram: self.transmit(host, to, datagram),
                to_caller=self.to_caller,
            ),
            codec=CODEC,
            metrics=self._metrics_of(host),
        )
        self._run(host, catalogue, steering)
        return steering

    def start_agent(
        self, host: int, *, first_start: bool = False, loaded: bool = True
    ) -> Delivery:
        """Start an agent that remembers nothing.

        Parameters
        ----------
        host : int
        first_start : bool, default=False
            Whether its target cannot hold flows from before.
        loaded : bool, default=True
            Whether it knows what is published; if not, the next change tells it.
        """
        catalogue = self._new_catalogue() if loaded else Catalogue()
        gate = Gate(catalogue, host, 1.0, ColdTolerance(1.5, 5))
        delivery = Delivery(
            host=host,
            catalogue=catalogue,
            gate=gate,
            ports=AgentPorts(
                to_target=lambda packet: self.targets[host].receive(packet),
                to_caller=self.to_caller,
                to_peer=lambda to, datagram: self.transmit(host, to, datagram),
            ),
            codec=CODEC,
            metrics=self._metrics_of(host),
            uncertain_until=0.0 if first_start else self.now + 15.0,
        )
        catalogue.listeners.append(
            lambda _: delivery.note_targets(self.now, unix_s=self.now)
        )
        delivery.note_targets(self.now, unix_s=self.now)
        self._run(host, catalogue, delivery)
        return delivery

    def kill(self, *hosts: int) -> None:
        """End processes; their targets live on."""
        for host in hosts:
            self.processes[host].alive = False

    def restart(self, *hosts: int) -> None:
        """Start processes again, with nothing remembered."""
        for host in hosts:
            self.kill(host)
            if host in self.targets:
                self.start_agent(host)
            else:
                self.start_balancer(host)

    def agent(self, host: int) -> Delivery:
        """Return the decisions of an agent."""
        return self.processes[host].decisions

    def balancer(self, host: int) -> Steering:
        """Return the decisions of a balancer."""
        return self.processes[host].decisions

    # Published state.

    def publish(self, **changes) -> None:
        """Publish a change; processes that follow apply it after a moment."""
        since = self.published.revision
        change = Change(since, since + 1, **changes)
        self.published.apply(change, self.now)
        for process in self.processes.values():
            if process.alive and process.follows:
                self.at(CROSS_S, lambda p=process: self._apply(p, change))

    def publish_shares(self, **weights: int) -> None:
        """Publish a configuration with another split of the route."""
        shares = tuple(Share(name, weight) for name, weight in weights.items())
        self.configuration = Configuration(
            self.configuration.version + 1,
            (Route("orders", SERVICE_HOST, PORT, shares),),
            self.configuration.services,
        )
        self.publish(configuration=self.configuration)

    # Callers.

    def open_flow(self) -> FakeCaller:
        """Open a flow of a new caller."""
        flow = (
            SERVICE_HOST.to_bytes(4, "big")
            + next(self.ports).to_bytes(2, "big")
            + PORT.to_bytes(2, "big")
            + CALLER_HOST.to_bytes(4, "big")
        )
        caller = self.callers[flow] = FakeCaller(self, flow)
        caller.open()
        return caller

    def holder_of(self, caller: FakeCaller) -> int | None:
        """Return the host of the target that holds a flow."""
        for host, target in self.targets.items():
            if caller.flow in target.flows:
                return host
        return None

    # Time and the network.

    def at(self, delay: float, call: Callable[[], None]) -> None:
        """Call a function after a delay."""
        heapq.heappush(self.events, (self.now + delay, next(self.order), call))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = end

    def transmit(self, source: int, host: int, datagram: bytes) -> None:
        """Carry a datagram between two processes."""
        if frozenset((source, host)) in self.cut or self.random.random() < self.loss:
            return
        near = self.zone_of.get(source) == self.zone_of.get(host)
        delay = (HOP_S if near else CROSS_S) * self.random.uniform(0.8, 1.3)
        self.at(delay, lambda: self._receive(source, host, datagram))

    def route(self, packet: bytes) -> None:
        """Carry a caller's packet to the balancer that the router selects."""
        flow = parse_caller_packet(packet).flow
        host = self.router(flow)
        process = self.processes.get(host)
        if process is not None and process.alive:
            segment = parse_caller_packet(packet)
            process.decisions.receive_packet(segment, self.now)

    def from_target(self, host: int, packet: bytes) -> None:
        """Carry a target's packet to the agent beside it."""
        process = self.processes[host]
        if process.alive:
            segment = parse_target_packet(packet)
            process.decisions.receive_from_target(segment, self.now)

    def to_caller(self, flow: FlowKey, packet: bytes) -> None:
        """Carry a packet to the caller of a flow."""
        caller = self.callers[flow]
        self.at(CROSS_S, lambda: caller.receive(packet))

    def _receive(self, source: int, host: int, datagram: bytes) -> None:
        process = self.processes.get(host)
        if process is not None and process.alive:
            message = decode_message(datagram)
            process.decisions.receive_message(message, source, self.now)

    def _hash_route(self, flow: FlowKey) -> int:
        live = [host for host in self.balancers if self.processes[host].alive]
        live = live or self.balancers
        return live[int.from_bytes(flow[4:6], "big") % len(live)]

    def _new_catalogue(self) -> Catalogue:
        catalogue = Catalogue()
        catalogue.apply(self.published.snapshot(), self.now)
        return catalogue

    def _apply(self, process: Process, change: Change) -> None:
        if not process.catalogue.apply(change, self.now):
            process.catalogue.apply(self.published.snapshot(), self.now)

    def _metrics_of(self, host: int) -> Metrics:
        return self.metrics.setdefault(host, Metrics())

    def _run(self, host: int, catalogue: Catalogue, decisions) -> None:
        process = Process(self.zone_of[host], catalogue, decisions)
        self.processes[host] = process
        tick = self._tick_agent if host in self.targets else self._tick_balancer
        self.at(TICK_S, lambda: tick(process))

    def _tick_balancer(self, process: Process) -> None:
        if process.alive:
            process.decisions.tick(self.now)
            process.decisions.expire(self.now)
            self.at(TICK_S, lambda: self._tick_balancer(process))

    def _tick_agent(self, process: Process) -> None:
        if process.alive:
            process.decisions.report(self.now)
            process.decisions.tick(self.now)
            self.at(REPORT_S, lambda: self._tick_agent(process))
