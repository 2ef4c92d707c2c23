"""Stand-in for a target beside an agent."""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from review.rig.packets import (
    ACK,
    FIN,
    RST,
    SYN,
    Packet,
    decode,
    encode,
    is_genuine,
    set_bounced,
)

RETRANSMISSIONS_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)

FlowName = tuple[tuple[str, int], tuple[str, int]]


@dataclass
class TargetFlow:
    """A flow that the target holds.

    Attributes
    ----------
    sequence : int
        Sequence of the target's next data.
    expected : int
        Sequence of the caller's next data.
    is_open : bool
        Whether the caller has acknowledged the acceptance.
    opened_at : float
    acknowledged : int
        Last sequence that the caller acknowledged.
    """

    sequence: int
    expected: int
    is_open: bool = False
    opened_at: float = 0.0
    acknowledged: int = 0


@dataclass
class Run:
    """One request that the target began to work on."""

    request_id: str
    at: float
    service: str
    target: str


class StandInTarget(asyncio.DatagramProtocol):
    """Serves requests on flows; each request and each answer is one packet.

    Parameters
    ----------
    name, service : str
    address, outbound : tuple of (str, int)
        Address at which it gets packets, and that to which it sends its own.
    slots : int
    work_s : float
    on_event : callable
        Called with the name of an event and its fields.

    Attributes
    ----------
    accepted_at : list of (float, Address)
        Time of each opening packet that it accepted, and the caller's end of the flow.
    forged : int
        Packets that their sender did not write so.
    is_alive : bool
        A target that crashed drops what it gets.
    slowdown : float
        Factor by which the work takes longer, as in cold start.
    """

    def __init__(
        self,
        name: str,
        service: str,
        address: tuple[str, int],
        outbound: tuple[str, int],
        *,
        slots: int,
        work_s: float,
        on_event: Callable[..., None],
    ) -> None:
        self.name, self.service = name, service
        self.address, self.outbound = address, outbound
        self.work_s = work_s
        self.slots = asyncio.Semaphore(slots)
        self.on_event = on_event
        self.flows: dict[FlowName, TargetFlow] = {}
        self.runs: list[Run] = []
        self.accepted_at: list[tuple[float, tuple[str, int]]] = []
        self.forged = 0
        self.is_alive = True
        self.slowdown = 1.0
        self.transport: asyncio.DatagramTransport | None = None
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.address
        )

    def close(self) -> None:
        """Close the socket."""
        for task in self.tasks:
            task.cancel()
        if self.transport is not None:
            self.transport.close()

    def crash(self) -> None:
        """Lose all flows and stop answering."""
        self.is_alive = False
        self.flows.clear()
        for task in self.tasks:
            task.cancel()

    def restart(self) -> None:
        """Serve again, without any flow."""
        self.is_alive = True

    def datagram_received(self, data: bytes, addr) -> None:
        """Handle a packet that the agent delivered."""
        if not self.is_alive:
            return
        packet = decode(data)
        if not is_genuine(data):
            self.forged += 1
            self.on_event("forged_packet", target=self.name)
            return
        name = packet.source, packet.destination
        if packet.flags & SYN:
            self._accept(name, packet)
            return
        flow = self.flows.get(name)
        if flow is None:
            self.transport.sendto(set_bounced(data), self.outbound)
            return
        if packet.flags & RST:
            del self.flows[name]
            return
        self._receive(name, flow, packet)

    def _accept(self, name: FlowName, packet: Packet) -> None:
        flow = self.flows.get(name)
        if flow is None:
            flow = TargetFlow(random.getrandbits(32), packet.sequence + 1)
            self.flows[name] = flow
            self.accepted_at.append((time.monotonic(), name[0]))
            self.on_event("accepted", target=self.name, flow=f"{name[0][1]}")
        if not flow.is_open:
            self._send(name, SYN | ACK, flow.sequence, flow.expected)

    def _receive(self, name: FlowName, flow: TargetFlow, packet: Packet) -> None:
        if packet.flags & ACK:
            flow.acknowledged = packet.acknowledged
            if not flow.is_open and packet.acknowledged == _add(flow.sequence, 1):
                flow.is_open, flow.opened_at = True, time.monotonic()
                flow.sequence = packet.acknowledged
                self.on_event("opened", target=self.name, flow=f"{name[0][1]}")
        if not flow.is_open:
            return
        if packet.payload and packet.sequence == flow.expected:
            flow.expected = _add(flow.expected, len(packet.payload))
            self._start(self._serve(name, flow, packet.payload))
        if packet.payload:
            self._send(name, ACK, flow.sequence, flow.expected)
        if packet.flags & FIN:
            self._send(name, ACK | FIN, flow.sequence, _add(flow.expected, 1))
            del self.flows[name]

    async def _serve(self, name: FlowName, flow: TargetFlow, request: bytes) -> None:
        request_id = request.partition(b"X-Request-Id: ")[2].partition(b"\r\n")[0]
        async with self.slots:
            self.runs.append(
                Run(request_id.decode(), time.monotonic(), self.service, self.name)
            )
            self.on_event("run", target=self.name, request=request_id.decode())
            await asyncio.sleep(self.work_s * self.slowdown)
        body = f"{self.name} ran {request_id.decode()}".encode()
        answer = (
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Response-Stamp: %b\r\n\r\n"
            % (len(body), request_id)
        ) + body
        sequence = flow.sequence
        flow.sequence = _add(sequence, len(answer))
        for delay_s in (0.0, *RETRANSMISSIONS_S):
            await asyncio.sleep(delay_s)
            if self.flows.get(name) is not flow or flow.acknowledged == flow.sequence:
                return
            self._send(name, ACK, sequence, flow.expected, answer)

    def _send(
        self,
        name: FlowName,
        flags: int,
        sequence: int,
        acknowledged: int,
        payload: bytes = b"",
    ) -> None:
        caller, service = name
        datagram = encode(
            flags,
            service,
            caller,
            sequence=sequence,
            acknowledged=acknowledged,
            payload=payload,
        )
        self.transport.sendto(datagram, self.outbound)

    def _start(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


@dataclass
class Entry:
    """What a target says of itself in the store."""

    service: str
    address: str
    zone: str
    slots: int
    born: int
    state: str = "ready"
    cold_left_ms: int = 0
    sequence: int = field(default=1)

    def to_document(self) -> dict:
        """Return the entry as it lies in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": self.cold_left_ms,
            "sequence": self.sequence,
            "born": self.born,
        }


def _add(sequence: int, size: int) -> int:
    return (sequence + size) & 0xFFFFFFFF
