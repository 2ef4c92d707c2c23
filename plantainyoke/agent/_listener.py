"""Dispatches callers' datagrams to connections and admits new connections.

A new connection is accepted or passed on to another agent of the service, by state and
connection count. Answers return to callers through a balancer that is reachable.
"""

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
MAX_FENCED_SESSIONS = 20_000
BALANCER_VALID_S = 2.0
CONNECTION_MARGIN = 1  # least difference for which a new flow is passed on


class Listener:
    """The QUIC connections of one agent.

    Parameters
    ----------
    node : Node
    service_id : int
    configuration : QuicConfiguration
    dispatcher : Dispatcher
    siblings : Siblings
    incarnation : int
    is_leaving : callable
        Returns whether this agent or its upstream is leaving.
    rng : random.Random

    Attributes
    ----------
    target : ConnectionTarget
        Target encoded in the connection IDs that this agent issues.
    connections : dict of bytes to AgentConnection
        Open connections by each of their connection IDs.
    open_connections : set of AgentConnection
    min_epoch_by_session : dict of bytes to int
        Lowest epoch that may start requests, for each session with a fence.
    heard_at_by_balancer : dict of int to float
        Loop time of the last message of each balancer, by packed address.
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
        self.open_connections: set[AgentConnection] = set()
        self.min_epoch_by_session: dict[bytes, int] = {}
        self.heard_at_by_balancer: dict[int, float] = {}
        node.handlers[Forward] = self.receive

    def receive(self, forward: Forward, peer: int) -> None:
        """Handle a datagram that a balancer or a sibling forwarded."""
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
            self._receive_initial(forward, packet)
        else:
            self._reset_unknown(forward, packet.connection_id)

    def record_balancer(self, balancer: int) -> None:
        """Record that a balancer was heard."""
        self.heard_at_by_balancer[balancer] = self.loop.time()

    def send_goaway(self) -> None:
        """Ask every caller to move to another connection."""
        for connection in self.open_connections:
            connection.send_goaway()

    def close_all(self, reason: str) -> None:
        """Close every connection."""
        for connection in list(self.open_connections):
            connection.close(H3_NO_ERROR, reason)

    @property
    def requests_in_flight(self) -> int:
        """Number of requests, without watches, whose answer is not complete."""
        return sum(
            not request.is_watch
            for connection in self.open_connections
            for request in connection.requests.values()
        )

    def _receive_initial(self, forward: Forward, packet: InitialPacket) -> None:
        alternate = self._choose_alternate(forward)
        if alternate is not None:
            self._pass_on(forward, alternate)
            return
        if len(self.open_connections) >= self.node.settings.agent.max_connections:
            self.node.metrics.count("refusal.connections_full")
            return
        self._accept(forward, packet)

    def _choose_alternate(self, forward: Forward) -> int | None:
        """Return the alternate to pass a new flow on to, None to accept it here.

        A flow is passed on if this agent is leaving, is full or has an unreachable
        upstream, or if an alternate holds fewer connections by ``CONNECTION_MARGIN``.
        """
        if forward.hop >= MAX_HOPS or not forward.alternates:
            return None
        now = self.loop.time()
        connections_by_agent = {
            agent: self.siblings.get_connection_count(agent, now)
            for agent in forward.alternates
        }
        eligible = [
            agent for agent, count in connections_by_agent.items() if count is not None
        ]
        is_full = len(self.open_connections) >= self.node.settings.agent.max_connections
        if self.is_leaving() or is_full or not self._is_upstream_reachable(now):
            self.node.metrics.count(
                "passed_on.leaving" if not is_full else "passed_on.full"
            )
            return eligible[0] if eligible else forward.alternates[0]
        if not eligible:
            return None
        least = min(eligible, key=connections_by_agent.get)
        if connections_by_agent[least] + CONNECTION_MARGIN <= len(
            self.open_connections
        ):
            self.node.metrics.count("passed_on.imbalance")
            return least
        return None

    def _is_upstream_reachable(self, now: float) -> bool:
        return self.dispatcher.upstream.is_reachable(now)

    def _pass_on(self, forward: Forward, agent: int) -> None:
        alternates = [item for item in forward.alternates if item != agent]
        forwarded = Forward(
            forward.caller,
            forward.service,
            forward.balancer,
            forward.hop + 1,
            alternates,
            forward.payload,
        )
        self.siblings.record_passed_on(agent)
        envelope = self.node.codec.encode_forward(self.node.generation, forwarded)
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
        self.open_connections.add(connection)
        self.node.metrics.count("connection.accepted")
        connection.receive_datagram(forward.payload, unpack_address(forward.caller))
        self.loop.call_later(HANDSHAKE_TIMEOUT_S, self._close_unestablished, connection)
        self.node.start_task(
            self._run(connection, packet.connection_id), name="connection"
        )

    async def _run(self, connection: AgentConnection, original_id: bytes) -> None:
        try:
            await connection.run()
        finally:
            self.open_connections.discard(connection)
            for connection_id in [original_id, *connection.issued_ids]:
                self.connections.pop(connection_id, None)
            self.node.metrics.count("connection.closed")

    def _close_unestablished(self, connection: AgentConnection) -> None:
        """Close a connection whose handshake did not complete in time."""
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
        connection.issued_ids.append(connection_id)

    def _send(self, connection: AgentConnection, datagram: bytes, caller: Address):
        balancer = self._select_balancer(connection)
        reply = Reply(pack_address(caller), self.service_id, datagram)
        envelope = self.node.codec.encode_reply(self.node.generation, reply)
        self.node.send(envelope, balancer, "bytes.data")

    def _select_balancer(self, connection: AgentConnection) -> int:
        """Return the balancer that forwards a connection's next datagram.

        This is the balancer that forwarded last. If it was not heard recently, a
        random one that was replaces it.
        """
        now = self.loop.time()
        current = connection.balancer
        if self._is_balancer_reachable(current, now):
            return current
        reachable = [
            item
            for item in self.heard_at_by_balancer
            if self._is_balancer_reachable(item, now)
        ]
        if not reachable:
            return current
        connection.balancer = self.rng.choice(reachable)
        return connection.balancer

    def _is_balancer_reachable(self, balancer: int, now: float) -> bool:
        heard_at = self.heard_at_by_balancer.get(balancer, float("-inf"))
        return now - heard_at < BALANCER_VALID_S and self.node.is_peer_allowed(balancer)

    def _check_epoch(
        self, connection: AgentConnection, epoch: int, resumes: bool
    ) -> bool:
        """Return whether a connection of a session may still start requests.

        A resumed request fences every older connection of its session. Otherwise a
        late packet on an older connection could start a request after the agent
        answered the resumed one as never seen.
        """
        session = connection.session
        min_epoch = self.min_epoch_by_session.get(session, 0)
        if epoch < min_epoch:
            return False
        if resumes and epoch > min_epoch:
            self._record_fence(session, epoch)
            for other in list(self.open_connections):
                if other.session == session and other.epoch < epoch:
                    other.is_fenced = True
                    other.close(H3_NO_ERROR, "fenced")
                    self.node.metrics.count("connection.fenced")
        return not connection.is_fenced

    def _record_fence(self, session: bytes, epoch: int) -> None:
        self.min_epoch_by_session.pop(session, None)
        self.min_epoch_by_session[session] = epoch
        if len(self.min_epoch_by_session) > MAX_FENCED_SESSIONS:
            del self.min_epoch_by_session[next(iter(self.min_epoch_by_session))]

    def _reset_unknown(self, forward: Forward, connection_id: bytes) -> None:
        """Send a stateless reset for a connection of an earlier incarnation."""
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
        log_event("flow_reset", caller=format_address(unpack_address(forward.caller)))
