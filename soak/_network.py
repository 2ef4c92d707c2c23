"""A loopback proxy between the processes of a site.

Each process sends to a port of its own, at every peer's address. So the proxy knows
from address and port who sends to whom, and passes on to the peer's real port.
"""

import asyncio
import random
import socket
import struct
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field

from plantainyoke.network import Address, DatagramSocket, serve_connections
from plantainyoke.telemetry import Metrics, TaskSet

PIECE_SIZE = 65_536
CUT_POLL_S = 0.02  # a healed direction goes on within this time
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: no wait, so RST instead of FIN


@dataclass
class Direction:
    """What happens to all that one process sends to another.

    Attributes
    ----------
    loss : float
        Share of the datagrams that is lost.
    delay_s : float
    is_cut : bool
        Datagrams are lost, and the bytes of streams wait.
    """

    loss: float = 0.0
    delay_s: float = 0.0
    is_cut: bool = False


@dataclass(eq=False)
class Connection:
    """One proxied TCP connection."""

    client: str
    server: str
    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    is_silent: bool = False

    def reset(self) -> None:
        """End the connection with a reset at both ends."""
        for writer in self.writers:
            sock = writer.get_extra_info("socket")
            if sock is None:
                continue  # closed meanwhile
            with suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()


@dataclass
class ProxiedNetwork:
    """All directions between processes, and their connections."""

    random: random.Random
    stack: AsyncExitStack
    directions: dict[tuple[str, str], Direction] = field(default_factory=dict)
    connections: set[Connection] = field(default_factory=set)
    senders: dict[str, DatagramSocket] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.metrics = Metrics()
        self.tasks = TaskSet(self.metrics)
        self.stack.push_async_callback(self.tasks.aclose)

    def direction(self, source: str, destination: str) -> Direction:
        """Return what happens between two processes, one way."""
        return self.directions.setdefault((source, destination), Direction())

    def reset_connections(self, share: float) -> None:
        """Reset a share of the connections."""
        for connection in self._draw(share):
            connection.reset()

    def silence_connections(self, share: float) -> None:
        """Let a share of the connections never carry a byte again."""
        for connection in self._draw(share):
            connection.is_silent = True

    def heal(self) -> None:
        """End what lasts; silent connections stay silent."""
        self.directions.clear()

    def add_sender(self, name: str, ip: str) -> None:
        """Open the socket from which a process's datagrams are passed on."""
        sender = DatagramSocket((ip, 0), lambda *_: None, self.metrics)
        self.stack.callback(sender.close)
        self.senders[name] = sender

    def carry_datagrams(
        self, source: str, destination: str, entry: Address, exit_: Address
    ) -> None:
        """Pass on the datagrams that one process sends to another."""

        def pass_on(datagram: bytes, _: Address) -> None:
            way = self.direction(source, destination)
            if way.is_cut or self.random.random() < way.loss:
                return
            send = self.senders[source].send
            if way.delay_s:
                delay_s = way.delay_s * self.random.uniform(0.5, 1.5)
                asyncio.get_running_loop().call_later(delay_s, send, datagram, exit_)
            else:
                send(datagram, exit_)

        receiver = DatagramSocket(entry, pass_on, self.metrics)
        self.stack.callback(receiver.close)

    async def carry_connections(
        self, client: str, server: str, entry: Address, exit_: Address, own_ip: str
    ) -> None:
        """Pass on the connections that one process opens to another."""

        async def serve(reader, writer) -> None:
            try:
                far_reader, far_writer = await asyncio.open_connection(
                    *exit_, local_addr=(own_ip, 0)
                )
            except OSError:
                writer.transport.abort()
                return
            connection = Connection(client, server, (writer, far_writer))
            self.connections.add(connection)
            there = self._pump(connection, client, server, reader, far_writer)
            back = self._pump(connection, server, client, far_reader, writer)
            pumps = [self.tasks.start_task(pump, name="pump") for pump in (there, back)]
            await asyncio.wait(pumps)
            self.connections.discard(connection)

        await serve_connections(serve, entry, self.stack, metrics=self.metrics)

    async def _pump(self, connection, source, destination, reader, writer) -> None:
        with suppress(OSError):
            while piece := await reader.read(PIECE_SIZE):
                if connection.is_silent:
                    continue
                while self.direction(source, destination).is_cut:
                    await asyncio.sleep(CUT_POLL_S)
                if delay_s := self.direction(source, destination).delay_s:
                    await asyncio.sleep(delay_s)
                writer.write(piece)
                await writer.drain()
        writer.close()

    def _draw(self, share: float) -> list[Connection]:
        return [one for one in self.connections if self.random.random() < share]
