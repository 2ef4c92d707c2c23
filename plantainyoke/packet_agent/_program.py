"""The agent's process: sockets, timers and the order of its start and stop."""

import asyncio
import time

from plantainyoke.catalogue import Change
from plantainyoke.flows import FlowKey, caller_host
from plantainyoke.network import Address, DatagramSocket
from plantainyoke.packet_agent._delivery import Delivery
from plantainyoke.packet_agent._outbox import AgentPorts
from plantainyoke.packet_node import PacketNode
from plantainyoke.placement import ColdTolerance, Gate
from plantainyoke.telemetry import log_event

REPORT_INTERVAL_S = 0.25
LEAVE_S = 0.03  # lets the announcement out


class Agent:
    """A running agent.

    Parameters
    ----------
    node : PacketNode
    """

    def __init__(self, node: PacketNode) -> None:
        settings = node.settings
        self.node = node
        self.target_socket: DatagramSocket | None = None
        self.gate = Gate(
            node.catalogue,
            settings.host,
            settings.heartbeat_s,
            ColdTolerance(settings.cold_factor, settings.cold_extra_per_s),
            settings.service,
        )
        self.zone_was_out = False
        self.started_at = node.loop.time()
        self.delivery = Delivery(
            host=settings.host,
            catalogue=node.catalogue,
            gate=self.gate,
            ports=AgentPorts(
                to_target=self._send_to_target,
                to_caller=self._send_to_caller,
                to_peer=node.send,
            ),
            codec=node.codec,
            metrics=node.metrics,
            uncertain_until=0.0 if settings.first_start else float("inf"),
        )
        node.catalogue.listeners.append(self._note_change)

    async def start(self) -> None:
        """Serve as soon as the catalogue is known."""
        node = self.node
        node.explain_flows(self.describe_flow)
        await node.open()
        # What the target sends goes out even while the catalogue is unknown.
        self.target_socket = DatagramSocket(
            node.settings.from_target, self._receive_from_target, node.metrics
        )
        node.stack.callback(self.target_socket.close)
        node.listen_for_messages(self.delivery.receive_message)
        await node.load()
        if not node.settings.first_start:
            # Flows idle for longer than this may be forgotten anyway.
            idle_s = node.catalogue.configuration.idle_timeout_s
            self.delivery.uncertain_until = self.started_at + idle_s
        node.start(self._run_timers(), name="timers")
        node.ready = True
        log_event(
            "ready",
            revision=node.catalogue.revision,
            version=node.catalogue.configuration.version,
            target=self.gate.target.name if self.gate.target else None,
        )

    async def drain(self) -> None:
        """Leave at once: while this process is away, nobody reaches the target."""
        self.node.ready = False
        self.delivery.announce_leaving()
        log_event("draining", flows=len(self.delivery.holdings.flows))
        await asyncio.sleep(LEAVE_S)

    def describe_flow(self, flow: FlowKey) -> dict:
        """Return what is known of a flow."""
        held = self.delivery.holdings.flows.get(flow)
        answer = {
            "held": held is not None,
            "half_open": flow in self.delivery.holdings.half_open,
            "pointer": self.delivery.finder.homes.find(flow),
            "searching": flow in self.delivery.finder.searches.running,
        }
        if held is not None:
            now = self.node.loop.time()
            answer["open_s"] = round(now - held.opened_at, 3)
            answer["idle_s"] = round(now - held.seen_at, 3)
        return answer

    def _receive_from_target(self, datagram: bytes, source: Address) -> None:
        node = self.node
        try:
            segment = node.codec.parse_from_target(datagram)
        except node.codec.failure as error:
            node.note_malformed("packet", source, error)
            return
        self.delivery.receive_from_target(segment, node.loop.time())

    def _send_to_target(self, packet: bytes) -> None:
        self.target_socket.send(packet, self.node.settings.target)

    def _send_to_caller(self, flow: bytes, packet: bytes) -> None:
        address = caller_host(flow), self.node.settings.packets[1]
        self.target_socket.send(packet, address)

    def _note_change(self, change: Change) -> None:
        if change.targets or change.removed:
            now = self.node.loop.time()
            self.delivery.note_targets(now, unix_s=time.time())
        is_out = self.node.settings.zone in self.node.catalogue.zones_out
        if self.zone_was_out and not is_out:
            self.gate.note_zone_returned(self.node.loop.time())
        self.zone_was_out = is_out

    async def _run_timers(self) -> None:
        loop, delivery = self.node.loop, self.delivery
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self.node.check_standstill()
            now = loop.time()
            delivery.report(now)
            delivery.tick(now)
