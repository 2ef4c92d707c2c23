"""The agent process: connects its parts and reports its state.

Builds the listener, dispatcher, upstream client, siblings and idempotency records of
one agent, applies configurations to them, answers probes with the target's state and
load, and drains the agent on shutdown.
"""

import asyncio
import random
import secrets
import time
from contextlib import AsyncExitStack

from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration

from plantainyoke.agent._dispatch import Dispatcher
from plantainyoke.agent._listener import Listener
from plantainyoke.agent._rebalance import Rebalancer
from plantainyoke.agent._records import IdempotencyRecords
from plantainyoke.agent._relay import RelayClient, answer_relayed_request
from plantainyoke.agent._siblings import Siblings
from plantainyoke.agent._upstream import Upstream
from plantainyoke.configuration import AgentSettings, ConfigurationSnapshot, Settings
from plantainyoke.hashing import (
    compute_service_id,
)
from plantainyoke.limits import RefusalReason, RequestRefusedError
from plantainyoke.network import (
    format_packed_address,
)
from plantainyoke.node import (
    ZONE_GRACE_S,
    ConfigurationFollower,
    ControlServer,
    Node,
    start_node,
)
from plantainyoke.routing import (
    CONNECTION_ID_SIZE,
)
from plantainyoke.telemetry import log_event
from plantainyoke.wire import (
    Probe,
    ProbeAck,
    TargetState,
)

INCARNATION_BITS = 61
IDLE_TIMEOUT_S = 60.0
SIBLING_PROBE_INTERVAL_S = 0.4
LEAVING_CHECK_INTERVAL_S = 0.1
LINGER_S = 0.3  # lets CONNECTION_CLOSE frames be sent before the process exits
CLOSE_MARGIN_S = 0.2  # closes connections before the zone's traffic is blocked
SECONDS_TO_MS = 1000


class Agent:
    """Terminates callers' connections and runs their requests on upstreams.

    Parameters
    ----------
    node : Node
        Sockets, configuration and metrics of the process.
    quic : QuicConfiguration
    rng : random.Random
    can_relay : bool, default=True
        False keeps every request on the local upstream, as a baseline for benchmarks.

    Attributes
    ----------
    incarnation : int
        Random identifier of this run of the agent; a restart changes it.
    liveness : int
        Liveness number; raised above a suspected one to refute the suspicion.
    is_stopping : bool
        Whether a graceful shutdown has begun.
    is_removed : bool
        Whether the configuration does not list this agent as a target.
    is_zone_out : bool
        Whether the zone of this agent is out of service.
    """

    def __init__(
        self,
        node: Node,
        quic: QuicConfiguration,
        rng: random.Random,
        *,
        can_relay: bool = True,
    ) -> None:
        self.node = node
        self.rng = rng
        self.loop = asyncio.get_running_loop()
        self.settings: AgentSettings = node.settings.agent
        self.service_id = compute_service_id(self.settings.service)
        self.incarnation = secrets.randbits(INCARNATION_BITS) | 1
        self.liveness = int(time.time() * SECONDS_TO_MS)
        self.is_stopping = False
        self.is_removed = False
        self.is_zone_out = False
        self.upstream = Upstream(self.settings.upstream, node.metrics)
        self.siblings = Siblings(node.address, node.is_peer_allowed, rng)
        self.records = IdempotencyRecords(
            incarnation=self.incarnation,
            capacity=self.settings.record_capacity,
            retention_s=self.settings.record_retention_s,
        )
        self.dispatcher = Dispatcher(
            upstream=self.upstream,
            siblings=self.siblings,
            relay=RelayClient(node, self.service_id),
            records=self.records,
            metrics=node.metrics,
            is_leaving=self.is_leaving,
            pause_detector=node.pause_detector,
            can_relay=can_relay,
        )
        self.listener = Listener(
            node=node,
            service_id=self.service_id,
            configuration=quic,
            dispatcher=self.dispatcher,
            siblings=self.siblings,
            incarnation=self.incarnation,
            is_leaving=self.is_leaving,
            rng=rng,
        )
        self.rebalancer = Rebalancer(self.listener, self.siblings, node.metrics)
        node.handlers[Probe] = self.answer_probe
        node.handlers[ProbeAck] = self.receive_probe_ack
        node.links.request_handler = self.serve_relayed
        node.configuration.listeners.append(self.apply)

    def is_leaving(self) -> bool:
        """Return whether this agent or its upstream accepts no new work."""
        return (
            self.is_stopping
            or self.is_removed
            or self.is_zone_out
            or self.upstream.is_draining
        )

    def apply(self, snapshot: ConfigurationSnapshot) -> None:
        """Apply a configuration to the siblings, the timeout and the limits."""
        service = snapshot.services.get(self.service_id)
        self.is_removed = service is None or not any(
            target.agent == self.node.address for target in service.targets
        )
        self._apply_zone(self.node.zone in snapshot.zones_out)
        if service is None:
            return
        record = service.record
        self.siblings.apply(service)
        self.dispatcher.request_timeout_s = record.request_timeout_ms / SECONDS_TO_MS
        self.upstream.configure(record)

    def _apply_zone(self, is_out: bool) -> None:
        """Send GOAWAY when this agent's zone goes out of service, then close.

        Connections that are still open close shortly before ``ZONE_GRACE_S`` ends.
        """
        if is_out and not self.is_zone_out:
            log_event(
                "zone_out_of_service", connections=len(self.listener.open_connections)
            )
            self.listener.send_goaway()
            self.loop.call_later(ZONE_GRACE_S - CLOSE_MARGIN_S, self._close_if_zone_out)
        self.is_zone_out = is_out

    def _close_if_zone_out(self) -> None:
        if self.is_zone_out:
            self.listener.close_all("zone out of service")

    def get_state(self) -> TargetState:
        """Return the state of the target, as reported in probe answers."""
        if self.is_leaving():
            return TargetState.LEAVING
        if not self.upstream.is_reachable(self.loop.time()):
            return TargetState.DOWN
        if self.upstream.limit.is_cold:
            return TargetState.COLD
        if not self.upstream.admission.has_free_slot:
            return TargetState.FULL
        return TargetState.SERVING

    def answer_probe(self, probe: Probe, peer: int) -> None:
        """Answer a probe of a balancer or a sibling with state and load.

        Parameters
        ----------
        probe : Probe
        peer : int
            Packed address of the process that sent the probe.
        """
        if probe.from_balancer:
            self.listener.record_balancer(peer)
        if probe.suspected_liveness >= self.liveness:
            self.liveness = probe.suspected_liveness + 1
            self.node.metrics.count("detector.refuted_own_suspicion")
        admission = self.upstream.admission
        ack = ProbeAck(
            nonce=probe.nonce,
            incarnation=self.incarnation,
            state=self.get_state(),
            connections=len(self.listener.open_connections),
            in_flight=admission.in_flight,
            limit=self.upstream.limit.value,
            queued=len(admission.waiters),
            liveness=self.liveness,
            served_rate=self.upstream.served_rate.read(self.loop.time()),
        )
        envelope = self.node.codec.encode_probe_ack(self.node.generation, ack)
        self.node.send(envelope, peer, "bytes.probe_answer")

    def receive_probe_ack(self, ack: ProbeAck, peer: int) -> None:
        """Record the state and load that a sibling reports."""
        if ack.incarnation:
            self.siblings.record_probe_ack(peer, ack, self.loop.time())

    async def serve_relayed(self, link, frame: dict) -> None:
        """Run a request that a sibling relayed."""
        await answer_relayed_request(link, frame, self._build_relay_handler(frame))

    async def probe_siblings(self) -> None:
        """Probe the siblings for their load until cancelled."""
        while True:
            for sibling in self.siblings.members:
                probe = Probe(self.rng.getrandbits(63), False)
                envelope = self.node.codec.encode_probe(self.node.generation, probe)
                self.node.send(envelope, sibling, "bytes.sibling_probe")
            interval_s = SIBLING_PROBE_INTERVAL_S * (0.75 + self.rng.random() / 2)
            await asyncio.sleep(interval_s)

    async def announce_leaving(self) -> None:
        """Send GOAWAY to callers while the agent is leaving, until cancelled."""
        was_leaving = False
        while True:
            leaving = self.is_leaving()
            if leaving != was_leaving:
                log_event("leaving" if leaving else "returned")
                was_leaving = leaving
            if leaving:
                self.listener.send_goaway()
            await asyncio.sleep(LEAVING_CHECK_INTERVAL_S)

    async def drain(self) -> None:
        """Send GOAWAY, wait for callers to move, then close all connections.

        Waits at most ``drain_timeout_s``; requests still in flight are then cut.
        """
        self.is_stopping = True
        self.listener.send_goaway()
        deadline = self.loop.time() + self.settings.drain_timeout_s
        log_event("agent_draining", connections=len(self.listener.open_connections))
        while self.loop.time() < deadline and self.listener.open_connections:
            await asyncio.sleep(LEAVING_CHECK_INTERVAL_S)
        requests_cut = self.listener.requests_in_flight
        self.listener.close_all("shutdown")
        await asyncio.sleep(LINGER_S)
        log_event("agent_stopped", requests_cut=requests_cut)

    def build_status(self, parameters: dict) -> dict:
        """Return the answer to ``plantainyokectl status``."""
        now = self.loop.time()
        limit = self.upstream.limit
        return {
            **self.node.describe(),
            "service": self.settings.service,
            "state": self.get_state().name.lower(),
            "connections": len(self.listener.open_connections),
            "in_flight": self.upstream.admission.in_flight,
            "queued": len(self.upstream.admission.waiters),
            "limit": {"value": limit.value, "cause": limit.cause.value},
            "records": len(self.records.records),
            "siblings": {
                format_packed_address(agent): {
                    "state": sibling.load.state.name.lower() if sibling.load else None,
                    "answered_s_ago": round(now - sibling.answered_at, 2),
                }
                for agent, sibling in self.siblings.members.items()
            },
        }

    def explain(self, parameters: dict) -> dict:
        """Return the answer to ``plantainyokectl explain``.

        Describes the record of a key, or whether a connection ID leads here.
        """
        key = parameters.get("key", "")
        if key:
            state = self.records.get_state(key)
            record = self.records.records.get(key)
            return {
                "key": key,
                "record": state.value if state else None,
                "reason": str(record.error) if record and record.error else None,
                "incarnation": self.incarnation,
            }
        try:
            connection_id = bytes.fromhex(parameters.get("connection_id", ""))
        except ValueError:
            return {"error": "connection_id is not hexadecimal"}
        if len(connection_id) != CONNECTION_ID_SIZE:
            return {"error": "a key or a connection_id of full length is required"}
        target = self.listener.codec.decode(connection_id)
        return {
            "leads_here": target == self.listener.target,
            "is_open": connection_id in self.listener.connections,
        }

    def _build_relay_handler(self, frame: dict):
        async def execute(request, sink) -> None:
            if frame["request"]["service"] != self.service_id:
                raise RequestRefusedError(RefusalReason.WRONG_SERVICE)
            if self.is_leaving():
                raise RequestRefusedError(RefusalReason.LEAVING)
            request.deadline -= self.node.pause_detector.backlog_age_s(self.loop.time())
            await self.dispatcher.serve(request, sink)

        return execute


def build_quic_configuration(settings: AgentSettings) -> QuicConfiguration:
    """Return the QUIC server configuration with certificate and key loaded.

    The server issues no session tickets, which rules out 0-RTT.
    """
    configuration = QuicConfiguration(
        is_client=False,
        alpn_protocols=H3_ALPN,
        connection_id_length=CONNECTION_ID_SIZE,
        idle_timeout=IDLE_TIMEOUT_S,
    )
    configuration.load_cert_chain(settings.certificate, settings.private_key)
    return configuration


async def start_agent(
    settings: Settings,
    stack: AsyncExitStack,
    *,
    seed: int | None = None,
    can_relay: bool = True,
) -> Agent:
    """Start an agent and its tasks once a configuration is in force.

    Parameters
    ----------
    settings : Settings
    stack : AsyncExitStack
        Stops the agent when it closes.
    seed : int, optional
        Seed of the random choices, for tests.
    can_relay : bool, default=True
        False keeps every request on the local upstream, as a baseline for benchmarks.

    Returns
    -------
    Agent
    """
    rng = random.Random(seed)
    quic = build_quic_configuration(settings.agent)
    service_id = compute_service_id(settings.agent.service)
    node = await start_node(settings, stack, service_id=service_id)
    agent = Agent(node, quic, rng, can_relay=can_relay)
    await agent.upstream.open(stack)
    follower = ConfigurationFollower(node, rng)
    if settings.control is not None:
        queries = {"status": agent.build_status, "explain": agent.explain}
        await ControlServer(settings.control, queries).start(stack)
    await follower.bootstrap()
    follower.start()
    node.start_essential_task(agent.upstream.poll_health, name="health")
    node.start_essential_task(agent.probe_siblings, name="siblings")
    node.start_essential_task(agent.announce_leaving, name="leaving")
    node.start_essential_task(agent.rebalancer.run, name="rebalance")
    log_event("agent_started", listen=settings.listen, service=settings.agent.service)
    return agent
