"""Process of the agent: sockets, timers, and the order of start and drain.

It connects `PacketDelivery`, which decides but does no input or output, to the event
loop, the sockets and the catalogue of a `PacketNode`.
"""

import asyncio
import time

from plantainyoke.catalogue import CatalogueChange
from plantainyoke.flows import FlowKey, get_caller_ip
from plantainyoke.network import Address, DatagramSocket
from plantainyoke.packet_agent._delivery import PacketDelivery
from plantainyoke.packet_agent._sender import AgentTransport
from plantainyoke.packet_node import PacketNode
from plantainyoke.placement import ColdStartTolerance, FlowAdmission
from plantainyoke.telemetry import log_event

TICK_INTERVAL_S = 0.05  # a fifth of the interval of reports
REPORT_INTERVAL_S = 0.25
LEAVE_DELAY_S = 0.03  # so that the announcement is sent before the sockets close


class PacketAgent:
    """A running agent.

    Parameters
    ----------
    node : PacketNode
        The process with its settings, catalogue and sockets.
    """

    def __init__(self, node: PacketNode) -> None:
        settings = node.settings
        self.node = node
        self.target_socket: DatagramSocket | None = None
        self.admission = FlowAdmission(
            node.catalogue,
            settings.host,
            settings.heartbeat_s,
            ColdStartTolerance(
                settings.cold_overshoot_factor, settings.cold_extra_flows_per_s
            ),
            settings.service,
        )
        self.zone_was_out = False
        started_at = node.loop.time()
        self.delivery = PacketDelivery(
            host=settings.host,
            catalogue=node.catalogue,
            admission=self.admission,
            transport=AgentTransport(
                send_to_target=self._send_to_target,
                send_to_caller=self._send_to_caller,
                send_to_host=node.send,
            ),
            codec=node.codec,
            metrics=node.metrics,
            started_at=started_at,
            complete_since=float("-inf") if settings.is_bootstrap else started_at,
            configuration_apply_s=settings.configuration_apply_s,
            features=settings.features,
        )
        node.get_work_time_s = self._get_work_time_s
        node.catalogue.listeners.append(self._handle_change)

    async def start(self) -> None:
        """Open the sockets, wait for the first catalogue, and become ready."""
        node = self.node
        node.register_explain_query(self.describe_flow)
        await node.open_sockets()
        # Packets of the target reach callers even before the catalogue is loaded.
        self.target_socket = DatagramSocket(
            node.settings.target_output_address, self._receive_from_target, node.metrics
        )
        node.exit_stack.callback(self.target_socket.close)
        node.listen_for_messages(self.delivery.receive_message)
        await node.load_catalogue()
        node.start_essential_task(self._run_timers, name="timers")
        node.is_ready = True
        log_event(
            "ready",
            revision=node.catalogue.revision,
            version=node.catalogue.configuration.version,
            target=self.admission.target.name if self.admission.target else None,
        )

    async def drain(self) -> None:
        """Announce without delay that this process stops.

        Callers' packets reach the target only through this process, so balancers must
        stop selecting it before it ends.
        """
        self.node.is_ready = False
        self.delivery.announce_leaving()
        log_event("draining", flows=len(self.delivery.flow_table.flows))
        await asyncio.sleep(LEAVE_DELAY_S)

    def describe_flow(self, flow: FlowKey) -> dict:
        """Return this agent's state of a flow, the answer to ``/explain``."""
        now = self.node.loop.time()
        held = self.delivery.flow_table.flows.get(flow)
        answer = {
            "knowledge": self.delivery.knowledge.get_knowledge(flow, now).name.lower(),
            "held": held is not None,
            "half_open": flow in self.delivery.flow_table.half_open,
            "pointer": self.delivery.finder.holder_table.find(flow),
            "searching": flow in self.delivery.finder.searches.running,
        }
        if held is not None:
            answer["open_s"] = round(now - held.opened_at, 3)
            answer["idle_s"] = round(now - held.last_seen_at, 3)
        return answer

    def _get_work_time_s(self, host: int) -> float:
        """Return the work time of this agent's target, 0 for other hosts."""
        is_own = host == self.node.settings.host
        return self.admission.work_time.work_time_s if is_own else 0.0

    def _receive_from_target(self, datagram: bytes, source: Address) -> None:
        node = self.node
        try:
            segment = node.codec.parse_target_packet(datagram)
        except node.codec.error_type as error:
            node.record_malformed("packet", source, error)
            return
        self.delivery.receive_from_target(segment, node.loop.time())

    def _send_to_target(self, packet: bytes) -> None:
        self.target_socket.send(packet, self.node.settings.target_address)

    def _send_to_caller(self, flow: bytes, packet: bytes) -> None:
        address = get_caller_ip(flow), self.node.settings.packet_address[1]
        self.target_socket.send(packet, address)

    def _handle_change(self, change: CatalogueChange) -> None:
        if change.targets or change.removed:
            now = self.node.loop.time()
            self.delivery.handle_target_change(now, unix_s=time.time())
        is_out = self.node.settings.zone in self.node.catalogue.zones_out
        if self.zone_was_out and not is_out:
            self.admission.record_zone_return(self.node.loop.time())
        self.zone_was_out = is_out

    async def _run_timers(self) -> None:
        loop, delivery = self.node.loop, self.delivery
        report_at = loop.time() + REPORT_INTERVAL_S
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = loop.time()
            if delivery.finder.searches.running or delivery.finder.deferred.waiting:
                delivery.finder.repeat_queries(now)
            if now >= report_at:
                report_at = now + REPORT_INTERVAL_S
                self.node.check_for_pause()
                delivery.send_load_reports(now)
                delivery.tick(now)
