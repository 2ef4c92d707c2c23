"""The balancer's process: sockets, timers and the order of its start and stop."""

import asyncio

from plantainyoke.flows import FlowKey, get_caller_ip
from plantainyoke.network import Address, DatagramSocket
from plantainyoke.packet_balancer._steering import BalancerTransport, PacketSteering
from plantainyoke.packet_node import PacketNode
from plantainyoke.telemetry import log_event

TICK_S = 0.02  # a third of the time after which a placement is tried elsewhere
EXPIRE_INTERVAL_S = 1.0
ROUTED_AWAY_S = 1.3  # routers notice within two probes, half a second apart
QUIET_S = 0.4  # without packets for so long, the routers send nothing more
GRACE_MARGIN_S = 0.7  # rest of the grace for closing


class PacketBalancer:
    """A running balancer.

    Parameters
    ----------
    node : PacketNode
    """

    def __init__(self, node: PacketNode) -> None:
        self.node = node
        self.packets: DatagramSocket | None = None
        self.received_at = 0.0
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
        )

    async def start(self) -> None:
        """Serve as soon as the catalogue is known."""
        node = self.node
        node.register_explain_query(self.describe_flow)
        await node.open_sockets()
        node.listen_for_messages(self.steering.receive_message)
        await node.load_catalogue()
        # Without a catalogue no packet could be forwarded: nothing listens before.
        self.packets = DatagramSocket(
            node.settings.packet_address, self._receive_packet, node.metrics
        )
        node.stack.callback(self.packets.close)
        node.start_task(self._run_timers(), name="timers")
        node.is_ready = True
        log_event(
            "ready",
            revision=node.catalogue.revision,
            version=node.catalogue.configuration.version,
            targets=len(node.catalogue.targets),
        )

    async def drain(self) -> None:
        """Forward on until the routers send nothing more."""
        node = self.node
        node.is_ready = False
        started = node.loop.time()
        log_event("draining", flows=len(self.steering.flow_cache))
        last = started + node.settings.grace_s - GRACE_MARGIN_S
        await asyncio.sleep(ROUTED_AWAY_S)
        while node.loop.time() < last:
            if node.loop.time() - self.received_at > QUIET_S:
                break
            await asyncio.sleep(QUIET_S / 4)
        log_event("drained", took_s=round(node.loop.time() - started, 2))

    def describe_flow(self, flow: FlowKey) -> dict:
        """Return what is known of a flow."""
        entry = self.steering.flow_cache.get(flow)
        if entry is None:
            return {"known": False}
        return {
            "known": True,
            "holder": entry.holder,
            "open": entry.open,
            "attempts": entry.attempts,
            "idle_s": round(self.node.loop.time() - entry.last_seen_at, 3),
        }

    def _receive_packet(self, datagram: bytes, source: Address) -> None:
        node = self.node
        now = self.received_at = node.loop.time()
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
        self.packets.send(packet, address)

    async def _run_timers(self) -> None:
        loop, steering = self.node.loop, self.steering
        expire_at = loop.time()
        while True:
            await asyncio.sleep(TICK_S)
            now = loop.time()
            if self.node.check_for_pause():
                steering.agents.clear_silence()
            if steering.unresolved:
                steering.tick(now)
            if now >= expire_at:
                expire_at = now + EXPIRE_INTERVAL_S
                steering.expire(now)
