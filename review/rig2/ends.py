"""Stand-ins for callers and targets: the two ends of a flow, over UDP."""

import asyncio
import random
import socket
import struct
from collections.abc import Callable

HEAD = struct.Struct("!B5s4sIIIH4sHH4s")
SYN, RST, BOUNCED, ACK, FIN = 1, 2, 8, 32, 128
COPY_TIMES_S = (0.0, 0.2, 0.6)
OPEN_TIMEOUT_S = 1.4


def write(
    flags: int,
    source: tuple[bytes, int],
    destination: tuple[bytes, int],
    *,
    seq: int = 0,
    ack: int = 0,
    data: bytes = b"",
) -> bytes:
    """Return a packet."""
    return (
        HEAD.pack(
            flags,
            b"",
            b"sum!",
            0,
            seq & 0xFFFFFFFF,
            ack & 0xFFFFFFFF,
            len(data),
            destination[0],
            source[1],
            destination[1],
            source[0],
        )
        + data
    )


class Packet:
    """A received packet."""

    def __init__(self, raw: bytes) -> None:
        (self.flags, _, _, _, self.seq, self.ack, size, dst, sport, dport, src) = (
            HEAD.unpack_from(raw)
        )
        self.raw = raw
        self.data = raw[HEAD.size : HEAD.size + size]
        self.source, self.destination = (src, sport), (dst, dport)


def open_socket(
    address: tuple[str, int], receive: Callable[[bytes], None]
) -> socket.socket:
    """Return a UDP socket whose datagrams go to a callback."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind(address)

    def read() -> None:
        while True:
            try:
                receive(sock.recv(4096))
            except (BlockingIOError, OSError):
                return

    asyncio.get_running_loop().add_reader(sock.fileno(), read)
    return sock


def close_socket(sock: socket.socket) -> None:
    """Stop reading a socket and close it, if it is open."""
    if sock.fileno() >= 0:
        asyncio.get_running_loop().remove_reader(sock.fileno())
        sock.close()


class Target:
    """Target beside an agent: accepts flows, runs requests, drains.

    A draining target still accepts flows, as the pages say, and closes each after its
    next answer.

    Attributes
    ----------
    taken : list of (float, tuple)
        Time and caller of each first packet that it accepted, copies left out.
    runs : list of (float, tuple, bytes)
        Time, caller and content of each request that it ran.
    opened_at : dict of tuple to float
        Time at which the latest flow of each caller opened.
    resets : list of (float, tuple)
        Time and caller of each reset, sent for data on a flow that has ended.
    """

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        outbound: tuple[str, int],
        *,
        work_s: float = 0.01,
    ) -> None:
        self.name, self.outbound, self.work_s = name, outbound, work_s
        self.draining = False
        self.half_open: dict[tuple, int] = {}
        self.flows: dict[tuple, dict] = {}
        self.ended: set[tuple] = set()
        self.taken: list[tuple[float, tuple]] = []
        self.runs: list[tuple[float, tuple, bytes]] = []
        self.resets: list[tuple[float, tuple]] = []
        self.opened_at: dict[tuple, float] = {}
        self.loop = asyncio.get_running_loop()
        self.socket = open_socket(address, self._receive)

    def _send(self, raw: bytes) -> None:
        if self.socket.fileno() >= 0:
            self.socket.sendto(raw, self.outbound)

    def _reply(self, flow: tuple, flags: int, state: dict, data: bytes = b"") -> None:
        caller, service = flow
        self._send(
            write(
                flags,
                service,
                caller,
                seq=state["seq"],
                ack=state["expects"],
                data=data,
            )
        )

    def _receive(self, raw: bytes) -> None:
        packet = Packet(raw)
        flow = packet.source, packet.destination
        if packet.flags & SYN:
            self._accept(flow, packet)
            return
        first = self.half_open.get(flow)
        if first is not None and packet.ack == (first + 1) & 0xFFFFFFFF:
            del self.half_open[flow]
            self.flows[flow] = {"seq": first + 1, "expects": packet.seq, "sent": {}}
            self.opened_at[flow[0]] = self.loop.time()
        state = self.flows.get(flow)
        if state is None:
            if flow in self.ended:
                if packet.flags & FIN:
                    self._send(write(ACK, flow[1], flow[0], ack=packet.seq + 1))
                elif packet.data:
                    self.resets.append((self.loop.time(), flow[0]))
                    self._send(write(RST, flow[1], flow[0], seq=packet.ack))
            else:
                self._send(bytes((raw[0] | BOUNCED,)) + b"\0" * 5 + raw[6:])
            return
        if packet.data:
            self._take_data(flow, state, packet)
        if packet.flags & FIN:
            state["expects"] = packet.seq + len(packet.data) + 1
            self._reply(flow, ACK | FIN, state)
            self._end(flow)

    def _accept(self, flow: tuple, packet: Packet) -> None:
        if flow not in self.half_open:
            self.ended.discard(flow)
            self.half_open[flow] = random.getrandbits(31)
            self.taken.append((self.loop.time(), flow[0]))
        seq = self.half_open[flow]
        self._send(write(SYN | ACK, flow[1], flow[0], seq=seq, ack=packet.seq + 1))

    def _take_data(self, flow: tuple, state: dict, packet: Packet) -> None:
        if packet.seq in state["sent"]:  # a copy of a request
            answer = state["sent"][packet.seq]
            if answer is not None:
                self._reply(flow, ACK, {**state, "seq": answer[0]}, answer[1])
            return
        if packet.seq != state["expects"]:
            return
        state["expects"] += len(packet.data)
        state["sent"][packet.seq] = None
        self.runs.append((self.loop.time(), flow[0], packet.data))
        self.loop.call_later(
            self.work_s, self._answer, flow, state, packet.seq, packet.data
        )

    def _answer(self, flow: tuple, state: dict, seq: int, data: bytes) -> None:
        answer = b"ran " + data
        state["sent"][seq] = state["seq"], answer
        self._reply(flow, ACK, state, answer)
        state["seq"] += len(answer)
        if self.draining and flow in self.flows:
            self._reply(flow, ACK | FIN, state)
            self._end(flow)

    def _end(self, flow: tuple) -> None:
        self.flows.pop(flow, None)
        self.ended.add(flow)

    def close(self) -> None:
        """Close the socket."""
        close_socket(self.socket)


class Attempt:
    """One attempt of a caller: a flow with one request."""

    def __init__(self, callers: "Callers", port: int, number: int) -> None:
        self.callers, self.port = callers, port
        self.request = f"request {number}".encode()
        self.sent_at = callers.loop.time()
        self.opened_at: float | None = None
        self.outcome = "none"
        self.ack = 0
        for copy, delay in enumerate(COPY_TIMES_S):
            callers.loop.call_later(delay, self._send_first, copy)
        callers.loop.call_later(OPEN_TIMEOUT_S, self._give_up)

    def _send_first(self, copy: int) -> None:
        if self.opened_at is None and self.outcome == "none":
            self._send(SYN, seq=100, ack=copy)

    def _give_up(self) -> None:
        if self.opened_at is None and self.outcome == "none":
            self.outcome = "not opened"

    def _send(self, flags: int, *, seq: int, ack: int, data: bytes = b"") -> None:
        callers = self.callers
        packet = write(
            flags,
            (callers.host, self.port),
            callers.service,
            seq=seq,
            ack=ack,
            data=data,
        )
        callers.send(packet, self.port)

    def _send_request(self, attempt: int = 0) -> None:
        if self.outcome == "none" and attempt < 5:
            self._send(ACK, seq=101, ack=self.ack, data=self.request)
            delay_s = min(0.2 * 2**attempt, 1.6)
            self.callers.loop.call_later(delay_s, self._send_request, attempt + 1)

    def receive(self, packet: Packet) -> None:
        """Handle a packet for this flow."""
        if packet.flags & RST:
            if self.outcome == "none":
                self.outcome = "reset" if self.opened_at else "refused"
        elif packet.flags & SYN:
            if self.opened_at is None and self.outcome == "none":
                self.opened_at = self.callers.loop.time()
                self.ack = packet.seq + 1
                self._send(ACK, seq=101, ack=self.ack)
                self._send_request()
        elif packet.data and self.outcome == "none":
            self.outcome = "answered"
            end = packet.seq + len(packet.data)
            self._send(ACK | FIN, seq=101 + len(self.request), ack=end)


class Callers:
    """Callers of one service address, which send through one balancer.

    Parameters
    ----------
    address : tuple of (str, int)
        Where packets for callers arrive.
    service : tuple of (str, int)
        Address and port of the route.
    router : callable
        Returns the packet address of the balancer for a packet of a port.
    """

    def __init__(
        self,
        address: tuple[str, int],
        service: tuple[str, int],
        router: Callable[[int], tuple[str, int]],
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.host = socket.inet_aton(address[0])
        self.service = socket.inet_aton(service[0]), service[1]
        self.router = router
        self.attempts: dict[int, Attempt] = {}
        self.socket = open_socket(address, self._receive)

    def send(self, packet: bytes, port: int) -> None:
        """Send a packet of a port to the balancer that the routers select."""
        if self.socket.fileno() >= 0:
            self.socket.sendto(packet, self.router(port))

    def open(self) -> Attempt:
        """Start one attempt on a new flow from a new port."""
        port = 20_000 + len(self.attempts)
        attempt = self.attempts[port] = Attempt(self, port, port)
        return attempt

    def _receive(self, raw: bytes) -> None:
        packet = Packet(raw)
        attempt = self.attempts.get(packet.destination[1])
        if attempt is not None:
            attempt.receive(packet)

    def close(self) -> None:
        """Close the socket."""
        close_socket(self.socket)
