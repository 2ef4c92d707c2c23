"""Stand-ins for callers, and for the routers that select a balancer."""

import asyncio
import hashlib
import itertools
import random
import time
from collections.abc import Callable
from enum import Enum

from review.rig.packets import ACK, FIN, RST, SYN, Packet, decode, encode, is_genuine

FIRST_PACKET_COPIES_S = (0.0, 0.2, 0.4)  # sent at 0, 200 and 600 ms
OPEN_TIMEOUT_S = 1.4
RETRANSMISSIONS_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6)
READY_PROBE_S = 0.5
MISSES_OUT_OF_ROTATION = 2
RESET_WINDOW = 76_800

Address = tuple[str, int]


class Outcome(Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    RESET = "reset"
    UNANSWERED = "unanswered"


class Router:
    """Forwards packets to balancers in rotation, by a hash of the flow.

    Parameters
    ----------
    balancers : dict of str to list of (Address, Address)
        Packet address and readiness address of each balancer, by zone.
    """

    def __init__(self, balancers: dict[str, list[tuple[Address, Address]]]) -> None:
        self.balancers = balancers
        self.misses = {ready: 0 for _, ready in self._list_all()}

    def select(self, zone: str, source: Address, destination: Address) -> Address:
        """Return the packet address of the balancer for a flow of a zone's caller."""
        own = self.balancers[zone]
        usable = self._list_in_rotation(own)
        if usable and 2 * len(usable) < len(own):
            usable = [packets for packets, _ in own]
        if not usable:
            usable = self._list_in_rotation(self._list_all())
        if not usable:
            usable = [packets for packets, _ in own]
        digest = hashlib.blake2b(repr((source, destination)).encode(), digest_size=4)
        return usable[int.from_bytes(digest.digest(), "big") % len(usable)]

    async def run(self) -> None:
        """Probe the balancers twice a second, until cancelled."""
        while True:
            await asyncio.gather(*(self._probe(ready) for ready in self.misses))
            await asyncio.sleep(READY_PROBE_S)

    def _list_all(self) -> list[tuple[Address, Address]]:
        return [one for zone in self.balancers.values() for one in zone]

    def _list_in_rotation(
        self, balancers: list[tuple[Address, Address]]
    ) -> list[Address]:
        return [
            packets
            for packets, ready in balancers
            if self.misses[ready] < MISSES_OUT_OF_ROTATION
        ]

    async def _probe(self, address: Address) -> None:
        if await is_ready(address):
            self.misses[address] = 0
        else:
            self.misses[address] += 1


async def is_ready(address: Address) -> bool:
    """Return whether a process reports that it is ready."""
    try:
        async with asyncio.timeout(0.4):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            status = await reader.readline()
            writer.close()
            return b" 200 " in status
    except (OSError, TimeoutError):
        return False


class Flow:
    """One flow of a caller; a request at a time.

    Attributes
    ----------
    is_open : bool
        Whether a target's acceptance has arrived.
    reset_at : float
        Time at which a reset was accepted, 0 if there is none.
    has_foreign_reset : bool
        Whether the reset came from the system and not from the target.
    """

    def __init__(self, caller: "Caller", port: int, destination: Address) -> None:
        self.caller = caller
        self.source, self.destination = (caller.ip, port), destination
        self.sequence = random.getrandbits(32)
        self.expected = 0
        self.acknowledged = 0
        self.is_open = False
        self.reset_at = 0.0
        self.has_foreign_reset = False
        self.answer = b""
        self.event = asyncio.Event()

    async def open(self) -> Outcome:
        """Send the opening packet and its copies."""
        deadline = time.monotonic() + OPEN_TIMEOUT_S
        for copy, delay_s in enumerate(FIRST_PACKET_COPIES_S):
            if await self._wait(delay_s):
                break
            self._send(SYN, self.sequence, copy)
        await self._wait(max(0.0, deadline - time.monotonic()))
        if self.reset_at:
            return Outcome.RESET
        return Outcome.ANSWERED if self.is_open else Outcome.UNANSWERED

    async def request(self, request_id: str, timeout_s: float) -> Outcome:
        """Send one request on the open flow, and wait for its answer."""
        payload = (
            f"POST / HTTP/1.1\r\nHost: x\r\nX-Request-Id: {request_id}\r\n"
            "Content-Length: 0\r\n\r\n"
        ).encode()
        self.answer = b""
        self.event.clear()
        sequence, self.sequence = self.sequence, _add(self.sequence, len(payload))
        deadline = time.monotonic() + timeout_s
        for delay_s in (0.0, *RETRANSMISSIONS_S):
            left_s = deadline - time.monotonic()
            if await self._wait(min(delay_s, max(0.0, left_s))) or left_s <= 0:
                break
            if self.acknowledged != self.sequence:
                self._send(ACK, sequence, self.expected, payload)
        await self._wait(max(0.0, deadline - time.monotonic()))
        if self.answer:
            return Outcome.ANSWERED
        return Outcome.RESET if self.reset_at else Outcome.UNANSWERED

    def close(self) -> None:
        """Finish the flow."""
        if self.is_open and not self.reset_at:
            self._send(ACK | FIN, self.sequence, self.expected)
        self.caller.flows.pop(self.source[1], None)

    def receive(self, packet: Packet) -> None:
        """Handle a packet for this flow."""
        if packet.flags & RST:
            self._receive_reset(packet)
        elif packet.flags & SYN:
            if not self.is_open:
                self.is_open = True
                self.expected = _add(packet.sequence, 1)
                self.sequence = _add(self.sequence, 1)
                self.event.set()
            self._send(ACK, self.sequence, self.expected)
        else:
            if packet.flags & ACK:
                self.acknowledged = packet.acknowledged
            if packet.payload and packet.sequence == self.expected:
                self.expected = _add(self.expected, len(packet.payload))
                self.answer = packet.payload
                self.event.set()
            if packet.payload:
                self._send(ACK, self.sequence, self.expected)

    def _receive_reset(self, packet: Packet) -> None:
        is_foreign = packet.raw[6:10] == bytes(4)
        near = (packet.sequence - self.expected + RESET_WINDOW) & 0xFFFFFFFF
        if self.is_open and is_foreign and near > 2 * RESET_WINDOW:
            return
        self.reset_at = time.monotonic()
        self.has_foreign_reset = is_foreign
        self.event.set()

    async def _wait(self, delay_s: float) -> bool:
        """Wait for an acceptance, an answer or a reset; return whether one came."""
        try:
            async with asyncio.timeout(delay_s):
                await self.event.wait()
        except TimeoutError:
            pass
        return self.event.is_set()

    def _send(
        self, flags: int, sequence: int, acknowledged: int, payload: bytes = b""
    ) -> None:
        self.caller.send(
            self,
            encode(
                flags,
                self.source,
                self.destination,
                sequence=sequence,
                acknowledged=acknowledged,
                payload=payload,
            ),
        )


class Caller(asyncio.DatagramProtocol):
    """Callers at one address; each flow has a port of its own.

    Parameters
    ----------
    ip : str
    zone : str
    packet_port : int
        Port at which packets for callers arrive.
    router : Router
    on_event : callable
    """

    def __init__(
        self,
        ip: str,
        zone: str,
        packet_port: int,
        router: Router,
        on_event: Callable[..., None],
    ) -> None:
        self.ip, self.zone, self.packet_port = ip, zone, packet_port
        self.router = router
        self.on_event = on_event
        self.flows: dict[int, Flow] = {}
        self.ports = itertools.count(40_001)
        self.forged = 0
        self.transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.packet_port)
        )

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    def new_flow(self, destination: Address) -> Flow:
        """Return a flow from a new port, not opened yet."""
        port = next(self.ports)
        flow = self.flows[port] = Flow(self, port, destination)
        return flow

    def send(self, flow: Flow, datagram: bytes) -> None:
        """Send a packet to the balancer that the router selects now."""
        balancer = self.router.select(self.zone, flow.source, flow.destination)
        self.transport.sendto(datagram, balancer)

    def datagram_received(self, data: bytes, addr) -> None:
        """Handle a packet for one of the flows."""
        packet = decode(data)
        is_reset = packet.flags & RST and data[6:10] == bytes(4)
        if not is_reset and not is_genuine(data):
            self.forged += 1
            self.on_event("forged_packet", caller=packet.destination)
            return
        flow = self.flows.get(packet.destination[1])
        if flow is not None and flow.destination == packet.source:
            flow.receive(packet)


def _add(sequence: int, size: int) -> int:
    return (sequence + size) & 0xFFFFFFFF
