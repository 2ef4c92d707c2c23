"""Gives callers' datagrams to their connections and admits new ones."""

import asyncio
import random
from collections.abc import Callable

from aioquic.quic.configuration import QuicConfiguration

from plantainyoke.agent._connection import AgentConnection
from plantainyoke.agent._dispatch import Dispatcher
from plantainyoke.agent._siblings import Siblings
from plantainyoke.network import (
    Address,
    format_address,
    pack_address,
    unpack_address,
)
from plantainyoke.node import Node
from plantainyoke.quic import (
    H3_NO_ERROR,
    RoutedQuicConnection,
    build_connection_reset,
)
from plantainyoke.routing import (
    CONNECTION_ID_SIZE,
    ConnectionIdCodec,
    ConnectionTarget,
    InitialPacket,
    RoutablePacket,
    parse_packet,
)
from plantainyoke.telemetry import log_event
from plantainyoke.wire import (
    Forward,
    Reply,
)

MAX_HOPS = 2
HANDSHAKE_TIMEOUT_S = 10.0
MAX_SESSIONS = 20_000
BALANCER_VALID_S = 2.0
CONNECTION_MARGIN = 1  # difference below which a new flow is not passed on


class Listener:
    """The connections of one agent.

    Parameters
    ----------
    node : Node
    service_id : int
    configuration : QuicConfiguration
    dispatcher : Dispatcher
    siblings : Siblings
    incarnation : int
    is_leaving : callable
    rng : random.Random
    """

    def __init__(
        self,
        *,
        node: Node,
        service_id: int,
        configuration: QuicConfiguration,
        dispatcher: Dispatcher,
        siblings: Siblings,
        incarnation: int,
        is_leaving: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        self.node = node
        self.service_id = service_id
        self.configuration = configuration
        self.dispatcher = dispatcher
        self.siblings = siblings
        self.incarnation = incarnation
        self.is_leaving = is_leaving
        self.rng = rng
        self.loop = asyncio.get_running_loop()
        keys = node.settings.keys.routing_keys
        self.codec = ConnectionIdCodec(keys)
        self.reset_secrets = {key.rotation: key.secret for key in keys}
        self.target = ConnectionTarget(node.address, node.zone, service_id)
        self.connections: dict[bytes, AgentConnection] = {}
        self.open: set[AgentConnection] = set()
        self.sessions: dict[bytes, int] = {}
        self.balancers: dict[int, float] = {}
        node.handlers[Forward] = self.receive

    def receive(self, forward: Forward, peer: int) -> None:
        """Take a datagram that a balancer or a sibling forwarded."""
        if forward.service != self.service_id:
            self.node.metrics.count("drop.wrong_service")
            return
        self.record_balancer(forward.balancer)
        packet = parse_packet(forward.payload)
        if not isinstance(packet, InitialPacket | RoutablePacket):
            self.node.metrics.count(f"drop.{packet.reason}")
            return
        connection = self.connections.get(packet.connection_id)
        if connection is not None:
            connection.balancer = forward.balancer
            connection.receive_datagram(forward.payload, unpack_address(forward.caller))
        elif isinstance(packet, InitialPacket):
            self._receive_first(forward, packet)
        else:
            self._reset_unknown(forward, packet.connection_id)

    def record_balancer(self, balancer: int) -> None:
        """Note that a balancer is alive."""
        self.balancers[balancer] = self.loop.time()

    def send_goaway(self) -> None:
        """Ask every caller to move to another connection."""
        for connection in self.open:
            connection.send_goaway()

    def close_all(self, reason: str) -> None:
        """Close every connection."""
        for connection in list(self.open):
            connection.close(H3_NO_ERROR, reason)

    @property
    def requests_in_flight(self) -> int:
        """Requests whose answer is not complete."""
        return sum(
            not request.is_watch
            for connection in self.open
            for request in connection.requests.values()
        )

    def _receive_first(self, forward: Forward, packet: InitialPacket) -> None:
        next_agent = self._next_agent(forward)
        if next_agent is not None:
            self._pass_on(forward, next_agent)
            return
        if len(self.open) >= self.node.settings.agent.max_connections:
            self.node.metrics.count("refusal.connections_full")
            return
        self._accept(forward, packet)

    def _next_agent(self, forward: Forward) -> int | None:
        """Return the alternate that should take a new flow, None to keep it."""
        if forward.hop >= MAX_HOPS or not forward.alternates:
            return None
        now = self.loop.time()
        known = {
            agent: self.siblings.connections_of(agent, now)
            for agent in forward.alternates
        }
        usable = [agent for agent, count in known.items() if count is not None]
        full = len(self.open) >= self.node.settings.agent.max_connections
        if self.is_leaving() or full or not self._is_upstream_reachable(now):
            self.node.metrics.count(
                "passed_on.leaving" if not full else "passed_on.full"
            )
            return usable[0] if usable else forward.alternates[0]
        if not usable:
            return None
        least = min(usable, key=known.get)
        if known[least] + CONNECTION_MARGIN <= len(self.open):
            self.node.metrics.count("passed_on.imbalance")
            return least
        return None

    def _is_upstream_reachable(self, now: float) -> bool:
        return self.dispatcher.upstream.is_reachable(now)

    def _pass_on(self, forward: Forward, agent: int) -> None:
        alternates = [item for item in forward.alternates if item != agent]
        passed = Forward(
            forward.caller,
            forward.service,
            forward.balancer,
            forward.hop + 1,
            alternates,
            forward.payload,
        )
        self.siblings.record_passed(agent)
        envelope = self.node.codec.encode_forward(self.node.generation, passed)
        self.node.send(envelope, agent, "bytes.data")

    def _accept(self, forward: Forward, packet: InitialPacket) -> None:
        quic = RoutedQuicConnection(
            issue_connection_id=self._issue_connection_id,
            reset_secret=self.reset_secrets[self.codec.rotation],
            configuration=self.configuration,
            original_destination_connection_id=packet.connection_id,
        )
        connection = AgentConnection(
            quic=quic,
            send=lambda datagram, caller: self._send(connection, datagram, caller),
            dispatcher=self.dispatcher,
            metrics=self.node.metrics,
            incarnation=self.incarnation,
            check_epoch=self._check_epoch,
        )
        connection.balancer = forward.balancer
        quic.issue_connection_id = lambda: self._issue_connection_id_for(connection)
        self.connections[packet.connection_id] = connection
        self._register(connection, quic.host_cid)
        self.open.add(connection)
        self.node.metrics.count("connection.accepted")
        connection.receive_datagram(forward.payload, unpack_address(forward.caller))
        self.loop.call_later(HANDSHAKE_TIMEOUT_S, self._close_unestablished, connection)
        self.node.start_task(
            self._run(connection, packet.connection_id), name="connection"
        )

    async def _run(self, connection: AgentConnection, first_id: bytes) -> None:
        try:
            await connection.run()
        finally:
            self.open.discard(connection)
            for connection_id in [first_id, *connection.issued]:
                self.connections.pop(connection_id, None)
            self.node.metrics.count("connection.closed")

    def _close_unestablished(self, connection: AgentConnection) -> None:
        """Free the state of a handshake that its caller has left."""
        if not connection.is_established and not connection.is_closed:
            self.node.metrics.count("connection.handshake_timeout")
            connection.close(H3_NO_ERROR, "handshake timeout")

    def _issue_connection_id(self) -> bytes:
        return self.codec.issue_connection_id(self.target)

    def _issue_connection_id_for(self, connection: AgentConnection) -> bytes:
        connection_id = self._issue_connection_id()
        self._register(connection, connection_id)
        return connection_id

    def _register(self, connection: AgentConnection, connection_id: bytes) -> None:
        self.connections[connection_id] = connection
        connection.issued.append(connection_id)

    def _send(self, connection: AgentConnection, datagram: bytes, caller: Address):
        balancer = self._return_path(connection)
        reply = Reply(pack_address(caller), self.service_id, datagram)
        envelope = self.node.codec.encode_reply(self.node.generation, reply)
        self.node.send(envelope, balancer, "bytes.data")

    def _return_path(self, connection: AgentConnection) -> int:
        """Return a balancer that was heard lately, the connection's if it was."""
        now = self.loop.time()
        current = connection.balancer
        if self._is_usable(current, now):
            return current
        usable = [item for item in self.balancers if self._is_usable(item, now)]
        if not usable:
            return current
        connection.balancer = self.rng.choice(usable)
        return connection.balancer

    def _is_usable(self, balancer: int, now: float) -> bool:
        heard_at = self.balancers.get(balancer, float("-inf"))
        return now - heard_at < BALANCER_VALID_S and self.node.is_peer_allowed(balancer)

    def _check_epoch(
        self, connection: AgentConnection, epoch: int, resumes: bool
    ) -> bool:
        """Tell whether a connection of a session may still start requests.

        A resumed request fences every older connection of its session, so that
        a late packet on one of them cannot start what was answered as unseen.
        """
        session = connection.session
        fenced_below = self.sessions.get(session, 0)
        if epoch < fenced_below:
            return False
        if resumes and epoch > fenced_below:
            self._remember_fence(session, epoch)
            for other in list(self.open):
                if other.session == session and other.epoch < epoch:
                    other.is_fenced = True
                    other.close(H3_NO_ERROR, "fenced")
                    self.node.metrics.count("connection.fenced")
        return not connection.is_fenced

    def _remember_fence(self, session: bytes, epoch: int) -> None:
        self.sessions.pop(session, None)
        self.sessions[session] = epoch
        if len(self.sessions) > MAX_SESSIONS:
            del self.sessions[next(iter(self.sessions))]

    def _reset_unknown(self, forward: Forward, connection_id: bytes) -> None:
        """Answer a flow of an earlier incarnation with a stateless reset."""
        self.node.metrics.count("drop.unknown_connection")
        if len(connection_id) != CONNECTION_ID_SIZE or forward.payload[0] & 0x80:
            return
        if self.codec.decode(connection_id) != self.target:
            return
        reset = build_connection_reset(
            self.reset_secrets, connection_id, len(forward.payload)
        )
        if reset is None:
            return
        reply = Reply(forward.caller, self.service_id, reset)
        envelope = self.node.codec.encode_reply(self.node.generation, reply)
        self.node.send(envelope, forward.balancer, "bytes.data")
        log_event("flow_reset", client=format_address(unpack_address(forward.caller)))
