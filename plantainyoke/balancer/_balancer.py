"""The balancer process: service sockets, forwarding, status and shutdown.

Connects the routing decisions of ``DatagramSteering`` to the sockets that callers send
to and to the envelopes exchanged with agents.
"""

import asyncio
import random
from collections.abc import Callable
from contextlib import AsyncExitStack

from plantainyoke.balancer._agent_monitor import AgentMonitor
from plantainyoke.balancer._steering import (
    ZONE_OUT,
    DatagramSteering,
    DecisionReason,
    Drop,
)
from plantainyoke.configuration import ConfigurationSnapshot, Service, Settings
from plantainyoke.limits import TokenBucket
from plantainyoke.network import (
    Address,
    DatagramSocket,
    format_address,
    format_packed_address,
    pack_address,
    unpack_address,
)
from plantainyoke.node import (
    ConfigurationFollower,
    ControlServer,
    Node,
    start_node,
)
from plantainyoke.quic import build_connection_reset
from plantainyoke.routing import CONNECTION_ID_SIZE, ConnectionIdCodec
from plantainyoke.telemetry import log_event
from plantainyoke.wire import (
    Forward,
    Reply,
)

FIRST_PACKET_BURST_S = 0.5
QUIET_BEFORE_STOP_S = 2.0
MAX_DRAIN_S = 30.0


class Balancer:
    """Forwards callers' datagrams to agents and agents' datagrams to callers.

    Parameters
    ----------
    node : Node
    rng : random.Random
        Passed to the agent monitor.

    Attributes
    ----------
    sockets : dict of int to DatagramSocket
        Sockets that callers send to, by service identifier.
    address_by_service : dict of int to int
        Packed address of each service that has a socket.
    last_packet_at : float
        Loop time of the last datagram from a caller.
    """

    def __init__(self, node: Node, rng: random.Random) -> None:
        self.node = node
        self.rng = rng
        self.loop = asyncio.get_running_loop()
        self.routing_keys = {
            key.rotation: key.secret for key in node.settings.keys.routing_keys
        }
        self.monitor = AgentMonitor(node, rng)
        self.detector = self.monitor.detector
        self.steering = DatagramSteering(
            ConnectionIdCodec(node.settings.keys.routing_keys),
            self.monitor.is_suspect,
            lambda: node.zones_blocked,
        )
        rate = node.settings.balancer.first_packets_per_s
        self.first_packets = TokenBucket(
            rate_per_s=rate, burst=rate * FIRST_PACKET_BURST_S, now=self.loop.time()
        )
        self.sockets: dict[int, DatagramSocket] = {}
        self.address_by_service: dict[int, int] = {}
        self.last_packet_at = self.loop.time()
        node.handlers[Reply] = self.return_datagram
        node.configuration.listeners.append(self.apply)
        node.exit_stack.callback(self.close)

    def apply(self, snapshot: ConfigurationSnapshot) -> None:
        """Apply a new configuration and listen on the addresses of its services."""
        self.steering.apply(snapshot, self.loop.time())
        self.monitor.apply(snapshot)
        for service_id in self.sockets.keys() - snapshot.services.keys():
            self.sockets.pop(service_id).close()
            del self.address_by_service[service_id]
        for service_id, service in snapshot.services.items():
            if self.address_by_service.get(service_id) != service.address:
                self._listen(service_id, service)

    def receive(self, service_id: int, datagram: bytes, source: Address) -> None:
        """Forward one datagram from a caller.

        Datagrams whose agent comes from the candidate table are limited to
        ``first_packets_per_s``; the excess is dropped.
        """
        now = self.loop.time()
        self.last_packet_at = now
        service = self.node.snapshot.services[service_id]
        decision = self.steering.decide(datagram, service, now)
        if type(decision) is Drop:
            self._drop(decision, service_id, datagram, source)
            return
        if decision.reason is DecisionReason.TABLE:
            if not self.first_packets.try_acquire(now):
                self.node.metrics.count("drop.first_packet_rate")
                return
            self.detector.record_forward(decision.agent, now)
        forward = Forward(
            pack_address(source),
            service_id,
            self.node.address,
            0,
            decision.alternates,
            datagram,
        )
        envelope = self.node.codec.encode_forward(self.node.generation, forward)
        self.node.send(envelope, decision.agent, "bytes.data")

    def return_datagram(self, reply: Reply, agent: int) -> None:
        """Send an agent's datagram to its caller from the service's address."""
        self.monitor.record_reply(agent)
        service_socket = self.sockets.get(reply.service)
        if service_socket is None:
            self.node.metrics.count("drop.reply_unknown_service")
            return
        service_socket.send(reply.payload, unpack_address(reply.caller))

    def build_status(self, parameters: dict) -> dict:
        """Answer ``plantainyokectl status``."""
        now = self.loop.time()
        snapshot = self.node.snapshot
        return {
            **self.node.describe(),
            "zones": {
                name: round(self.steering.get_zone_share(zone, now), 2)
                for zone, name in snapshot.zone_names.items()
            },
            "zones_suspected": [
                snapshot.zone_names.get(zone, str(zone))
                for zone in self.monitor.zones.list_suspects()
            ],
            "suspects": {
                format_packed_address(agent): {
                    "evidence": status.evidence.value,
                    "seconds": round(now - status.changed_at, 1),
                    "probes_unanswered": status.unanswered_probes,
                }
                for agent, status in self.detector.list_suspects().items()
            },
        }

    def explain(self, parameters: dict) -> dict:
        """Answer ``plantainyokectl explain``: the agents of a connection ID."""
        service = self._find_service(parameters.get("service", ""))
        try:
            connection_id = bytes.fromhex(parameters.get("connection_id", ""))
        except ValueError:
            return {"error": "connection_id is not hexadecimal"}
        if service is None:
            return {"error": "unknown service"}
        if len(connection_id) == CONNECTION_ID_SIZE:
            target = self.steering.codec.decode(connection_id)
            if target is not None:
                drop = self.steering.check_target(target, service)
                if drop is None:
                    return self._build_explanation("connection_id", [target.agent])
                return {"choice": None, "refusal": drop.reason}
        now = self.loop.time()
        agents = self.steering.select_candidates(connection_id, service, now)
        return self._build_explanation("table", agents)

    def close(self) -> None:
        """Close the sockets of the services."""
        for service_socket in self.sockets.values():
            service_socket.close()
        self.sockets.clear()

    async def drain(self) -> None:
        """Keep forwarding until the fabric has stopped routing callers here.

        Returns after ``QUIET_BEFORE_STOP_S`` without a datagram from a caller. Stops
        waiting for that after ``MAX_DRAIN_S``.
        """
        started = self.loop.time()
        log_event("balancer_draining")
        while self.loop.time() - started < MAX_DRAIN_S:
            quiet_s = self.loop.time() - max(self.last_packet_at, started)
            if quiet_s >= QUIET_BEFORE_STOP_S:
                return
            await asyncio.sleep(QUIET_BEFORE_STOP_S - quiet_s)

    def _build_explanation(self, reason: str, agents: list[int]) -> dict:
        zone_by_agent = self.node.snapshot.zone_by_agent
        names = self.node.snapshot.zone_names
        return {
            "choice": format_packed_address(agents[0]) if agents else None,
            "reason": reason,
            "generation": self.node.generation,
            "candidates": [
                {
                    "agent": format_packed_address(agent),
                    "zone": names.get(zone_by_agent.get(agent)),
                    "suspect": self.monitor.is_suspect(agent),
                }
                for agent in agents
            ],
        }

    def _find_service(self, name: str) -> Service | None:
        for service in self.node.snapshot.services.values():
            if service.name == name:
                return service
        return None

    def _listen(self, service_id: int, service: Service) -> None:
        host, port = unpack_address(service.address)
        address = host, port + self.node.settings.balancer.service_port_offset
        old_socket = self.sockets.pop(service_id, None)
        if old_socket is not None:
            old_socket.close()
        self.address_by_service[service_id] = service.address

        def receive(datagram: bytes, source: Address) -> None:
            self.receive(service_id, datagram, source)

        try:
            self.sockets[service_id] = DatagramSocket(
                address, receive, self.node.metrics
            )
        except OSError as error:
            del self.address_by_service[service_id]
            self.node.metrics.count("balancer.bind_failed")
            log_event(
                "bind_failed",
                service=service.name,
                address=format_address(address),
                error=error.strerror,
            )

    def _drop(
        self, drop: Drop, service_id: int, datagram: bytes, source: Address
    ) -> None:
        self.node.metrics.count(f"drop.{drop.reason}")
        if drop is ZONE_OUT:
            self._reset_flow(service_id, datagram, source)

    def _reset_flow(self, service_id: int, datagram: bytes, source: Address) -> None:
        """Send a stateless reset for a flow whose zone was taken out of service.

        A packet with a long header gets no reset.
        """
        if datagram[0] & 0x80:
            return
        connection_id = datagram[1 : 1 + CONNECTION_ID_SIZE]
        reset = build_connection_reset(self.routing_keys, connection_id, len(datagram))
        if reset is not None:
            self.node.metrics.count("balancer.flow_reset")
            self.sockets[service_id].send(reset, source)


async def start_balancer(
    settings: Settings, stack: AsyncExitStack, *, seed: int | None = None
) -> Balancer:
    """Start a balancer and return once a configuration is in force.

    Parameters
    ----------
    settings : Settings
    stack : AsyncExitStack
        Closes the balancer's sockets, links and tasks.
    seed : int, default=None
        Seed of the random generator; None for an unpredictable one.
    """
    rng = random.Random(seed)
    node = await start_node(settings, stack)
    balancer = Balancer(node, rng)
    follower = ConfigurationFollower(node, rng)
    if settings.control is not None:
        queries: dict[str, Callable[[dict], dict]] = {
            "status": balancer.build_status,
            "explain": balancer.explain,
        }
        await ControlServer(settings.control, queries).start(stack)
    await follower.bootstrap()
    follower.start()
    node.start_essential_task(balancer.monitor.run, name="target_watch")
    log_event("balancer_started", listen=settings.listen)
    return balancer
