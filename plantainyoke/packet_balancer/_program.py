"""Balancer process: sockets, timers, and the order of start and drain.

`PacketBalancer` connects the decisions of `PacketSteering` to the sockets and the
clock.
"""

import asyncio

from plantainyoke.flows import FlowKey, get_caller_ip
from plantainyoke.network import Address, DatagramSocket
from plantainyoke.packet_balancer._sender import BalancerTransport
from plantainyoke.packet_balancer._steering import PacketSteering
from plantainyoke.packet_node import PacketNode
from plantainyoke.telemetry import log_event

TICK_INTERVAL_S = 0.02  # a third of the timeout of a placement
EXPIRE_INTERVAL_S = 1.0
ROUTER_UPDATE_S = 1.3  # routers stop within two probes, 0.5 s apart
QUIET_PERIOD_S = 0.4  # without packets for this long, routers have stopped routing here
GRACE_MARGIN_S = 0.7  # part of the grace period that is reserved for closing


class PacketBalancer:
    """Process that runs one balancer.

    Parameters
    ----------
    node : PacketNode
        Parts of the process that balancers and agents share.

    Attributes
    ----------
    packet_socket : DatagramSocket, optional
        Socket for the packets of callers, None before the catalogue is loaded.
    last_packet_at : float
        Time at which a caller's packet last arrived.
    steering : PacketSteering
    """

    def __init__(self, node: PacketNode) -> None:
        self.node = node
        self.packet_socket: DatagramSocket | None = None
        self.last_packet_at = 0.0
        self.steering = PacketSteering(
            host=node.settings.host,
            zone=node.settings.zone,
            catalogue=node.catalogue,
            transport=BalancerTransport(
                send_to_agent=node.send,
                send_to_caller=self._send_to_caller,
            ),
            codec=node.codec,
            metrics=node.metrics,
            features=node.settings.features,
        )
        node.get_work_time_s = self._get_work_time_s

    async def start(self) -> None:
        """Open the sockets, wait for a catalogue, and start to forward packets."""
        node = self.node
        node.register_explain_query(self.describe_flow)
        await node.open_sockets()
        node.listen_for_messages(self.steering.receive_message)
        await node.load_catalogue()
        # The packet socket opens last, because without a catalogue no packet could be
        # forwarded.
        self.packet_socket = DatagramSocket(
            node.settings.packet_address, self._receive_packet, node.metrics
        )
        node.exit_stack.callback(self.packet_socket.close)
        node.start_essential_task(self._run_timers, name="timers")
        node.is_ready = True
        log_event(
            "ready",
            revision=node.catalogue.revision,
            version=node.catalogue.configuration.version,
            targets=len(node.catalogue.targets),
        )

    async def drain(self) -> None:
        """Keep forwarding until routers stop routing packets here.

        Draining ends when no packet arrived for `QUIET_PERIOD_S`, but early enough to
        close within the grace period.
        """
        node = self.node
        node.is_ready = False
        started_at = node.loop.time()
        log_event("draining", flows=len(self.steering.flow_cache))
        drain_deadline = started_at + node.settings.grace_s - GRACE_MARGIN_S
        await asyncio.sleep(ROUTER_UPDATE_S)
        while node.loop.time() < drain_deadline:
            if node.loop.time() - self.last_packet_at > QUIET_PERIOD_S:
                break
            await asyncio.sleep(QUIET_PERIOD_S / 4)
        log_event("drained", took_s=round(node.loop.time() - started_at, 2))

    def describe_flow(self, flow: FlowKey) -> dict:
        """Return the cached state of a flow for `explain`."""
        entry = self.steering.flow_cache.get(flow)
        if entry is None:
            return {"known": False}
        return {
            "known": True,
            "holder": entry.holder,
            "open": entry.is_open,
            "attempts": entry.attempts,
            "idle_s": round(self.node.loop.time() - entry.last_seen_at, 3),
        }

    def _get_work_time_s(self, host: int) -> float:
        """Return the work time that an agent reported last, 0 if it reported none."""
        agent = self.steering.agents.agents.get(host)
        return agent.load.work_time_us / 1e6 if agent else 0.0

    def _receive_packet(self, datagram: bytes, source: Address) -> None:
        node = self.node
        now = self.last_packet_at = node.loop.time()
        try:
            flow, opens = node.codec.peek_flow_key(datagram)
            if not opens and self.steering.try_forward(flow, datagram, now):
                return
            segment = node.codec.parse_caller_packet(datagram)
        except node.codec.error_type as error:
            node.record_malformed("packet", source, error)
            return
        self.steering.receive_from_caller(segment, now)

    def _send_to_caller(self, flow: bytes, packet: bytes) -> None:
        address = get_caller_ip(flow), self.node.settings.packet_address[1]
        self.packet_socket.send(packet, address)

    async def _run_timers(self) -> None:
        loop, steering = self.node.loop, self.steering
        expire_at = loop.time()
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = loop.time()
            if self.node.check_for_pause():
                steering.agents.clear_silence()
                steering.detours.clear_silence()
            if steering.flow_cache.unresolved:
                steering.tick(now)
            if now >= expire_at:
                expire_at = now + EXPIRE_INTERVAL_S
                steering.expire(now)
