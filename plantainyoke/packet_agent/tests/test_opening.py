"""First packets at an agent whose target is busy."""

from plantainyoke.catalogue import (
    Catalogue,
    CatalogueChange,
    Route,
    RouteConfiguration,
    RouteShare,
    Target,
)
from plantainyoke.flows import (
    FlowTable,
    HeldFlow,
    Ingress,
    Load,
    Message,
    MessageKind,
    decode_message,
    encode_open_body,
    encode_open_detail,
)
from plantainyoke.hashing import compute_service_id
from plantainyoke.packet_agent import AgentTransport
from plantainyoke.packet_agent._opening import FlowOpener
from plantainyoke.packet_agent._sender import MessageSender
from plantainyoke.placement import ColdStartTolerance, FlowAdmission
from plantainyoke.platform import PACKET_CODEC
from plantainyoke.standins import write_packet
from plantainyoke.telemetry import Metrics

HOST, BALANCER, ALTERNATE = 10, 100, 11
SYN = 1
AIM_S = 0.25
TIMEOUT_S = 1.0
WORK_TIME_S = 0.05
NOW = 1000.0
SERVICE_ADDRESS = 0xC6120001, 443


class OneAgent:
    """The opener of an agent with one slot, whose packets and messages are recorded."""

    def __init__(self) -> None:
        catalogue = Catalogue()
        routes = tuple(
            Route(name, host, 443, (RouteShare("orders", 1),), AIM_S, TIMEOUT_S, rank)
            for name, host, rank in (
                ("orders", SERVICE_ADDRESS[0], 1),
                ("urgent", SERVICE_ADDRESS[0] + 1, 0),
            )
        )
        target = Target("t10", "orders", HOST, 9000, "a", 1)
        configuration = RouteConfiguration(1, routes)
        change = CatalogueChange(0, 1, configuration, targets=(target,), zones_out=())
        catalogue.apply(change, NOW)
        self.to_target: list[bytes] = []
        self.messages: list[tuple[int, Message]] = []
        self.flow_table = FlowTable()
        self.admission = FlowAdmission(catalogue, HOST, 1.0, ColdStartTolerance())
        self.admission.work_time.work_time_s = WORK_TIME_S
        transport = AgentTransport(
            send_to_target=self.to_target.append,
            send_to_caller=lambda flow, packet: None,
            send_to_host=lambda host, datagram: self.messages.append(
                (host, decode_message(datagram))
            ),
        )
        self.opener = FlowOpener(
            catalogue=catalogue,
            admission=self.admission,
            flow_table=self.flow_table,
            sender=MessageSender(
                host=HOST,
                catalogue=catalogue,
                transport=transport,
                codec=PACKET_CODEC,
                metrics=Metrics(),
                load=Load,
            ),
            transport=transport,
            codec=PACKET_CODEC,
            metrics=Metrics(),
        )

    def open_flow(
        self,
        port,
        *,
        now=NOW,
        copy=0,
        alternates=(),
        hops=0,
        may_wait=False,
        urgent=False,
    ) -> bytes:
        """Receive the first packet of a flow, and return the flow's key."""
        service = SERVICE_ADDRESS[0] + urgent
        flow = b"".join(
            value.to_bytes(size, "big")
            for value, size in ((service, 4), (port, 2), (443, 2), (0x64400007, 4))
        )
        body = encode_open_body(
            list(alternates), write_packet(flow, SYN, acknowledged=copy)
        )
        detail = encode_open_detail(len(alternates), may_wait=may_wait)
        ingress = Ingress(BALANCER, 1)
        service_id = compute_service_id("orders")
        message = Message(MessageKind.OPEN, hops, detail, ingress, service_id, 1, body)
        self.opener.receive_open(message, now)
        return flow

    def list_kinds(self):
        return [message.kind for _, message in self.messages]


class TestBusyTarget:
    def test_target_gets_two_requests_per_slot_and_the_others_wait(self):
        agent = OneAgent()
        for port in range(4):
            agent.open_flow(port)
        assert len(agent.to_target) == 2
        assert agent.list_kinds() == [MessageKind.WAITING] * 2

    def test_flow_is_passed_on_twice_in_search_of_an_idle_target(self):
        # Reports are up to 250 ms old, so another target may be idle meanwhile.
        agent = OneAgent()
        for port in range(2):
            agent.open_flow(port)
        for hops in range(4):
            agent.open_flow(10 + hops, alternates=[ALTERNATE], hops=hops)
        kinds = agent.list_kinds()
        assert kinds == [MessageKind.OPEN] * 2 + [MessageKind.WAITING] * 2

    def test_flow_waits_only_if_it_will_be_answered_in_time(self):
        agent = OneAgent()
        for port in range(20):
            agent.open_flow(port, alternates=[ALTERNATE], hops=2)
        answered_after_s = (len(agent.opener.waiting_room) + 2) * WORK_TIME_S
        assert 0.8 * AIM_S - WORK_TIME_S < answered_after_s <= 0.8 * AIM_S
        passed_on = [host for host, message in agent.messages if host == ALTERNATE]
        assert len(passed_on) == 20 - 2 - len(agent.opener.waiting_room)

    def test_flow_waits_until_its_caller_gives_up_if_others_are_busy_too(self):
        agent = OneAgent()
        for port in range(40):
            agent.open_flow(port, may_wait=True)
        answered_after_s = (len(agent.opener.waiting_room) + 2) * WORK_TIME_S
        assert TIMEOUT_S - 2 * WORK_TIME_S <= answered_after_s <= TIMEOUT_S
        assert MessageKind.REFUSED in agent.list_kinds()

    def test_retransmission_of_a_waiting_flow_waits_with_it(self):
        agent = OneAgent()
        for port in (1, 2, 3):
            agent.open_flow(port)
        agent.open_flow(3, now=NOW + 0.2, copy=1)
        assert len(agent.opener.waiting_room) == 1
        assert agent.list_kinds() == [MessageKind.WAITING] * 2


class TestOrder:
    def _admit_next(self, agent, now):
        agent.flow_table.half_open.clear()
        agent.flow_table.requests[b"other"] = HeldFlow(NOW, NOW, Ingress())
        agent.opener.admit_waiting(now)
        return agent.to_target[-1]

    def _fill(self, agent):
        agent.open_flow(1)
        agent.open_flow(2)

    def test_flow_that_can_be_in_time_comes_before_a_late_one(self):
        agent = OneAgent()
        self._fill(agent)
        agent.open_flow(3, copy=2, may_wait=True)  # first sent 0.6 s ago
        flow = agent.open_flow(4)
        assert flow[4:6] in self._admit_next(agent, NOW + 0.01)

    def test_route_with_higher_priority_comes_first(self):
        agent = OneAgent()
        self._fill(agent)
        agent.open_flow(3)
        flow = agent.open_flow(4, urgent=True)
        packet = self._admit_next(agent, NOW + 0.01)
        assert PACKET_CODEC.parse_caller_packet(packet).flow == flow

    def test_flow_whose_caller_gave_up_is_dropped(self):
        # A refusal would make the balancer place the flow again, for nobody.
        agent = OneAgent()
        self._fill(agent)
        agent.open_flow(3, may_wait=True)
        agent.opener.admit_waiting(NOW + TIMEOUT_S)
        assert len(agent.to_target) == 2
        assert agent.list_kinds() == [MessageKind.WAITING]
        assert not agent.opener.waiting_room.flows

    def test_waiting_flows_are_passed_on_when_the_agent_stops(self):
        agent = OneAgent()
        self._fill(agent)
        agent.open_flow(3, alternates=[ALTERNATE], hops=2)
        agent.open_flow(4)
        agent.admission.is_leaving = True
        agent.opener.admit_waiting(NOW + 0.01)
        assert not agent.opener.waiting_room.flows
        kinds = [(host, message.kind) for host, message in agent.messages[-2:]]
        assert (ALTERNATE, MessageKind.OPEN) in kinds
        assert (BALANCER, MessageKind.REFUSED) in kinds

    def test_waiting_flow_is_refused_if_the_target_drains(self):
        agent = OneAgent()
        self._fill(agent)
        agent.open_flow(3, alternates=[ALTERNATE], hops=2)
        draining = Target("t10", "orders", HOST, 9000, "a", 1, draining=True)
        agent.opener.catalogue.apply(CatalogueChange(1, 2, targets=(draining,)), NOW)
        agent.opener.admit_waiting(NOW + 0.01)
        assert len(agent.to_target) == 2
        assert agent.messages[-1][0] == ALTERNATE
