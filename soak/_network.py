"""Loopback proxy that injects network faults between the processes of a site.

Each process sends to a port number that no other process uses, at the address of each
peer. The proxy listens there: the port identifies the sender and the address the
receiver. It forwards the traffic to the receiver's listening port, subject to the
loss, delay and cuts that are set for this direction.
"""

import asyncio
import random
import socket
import struct
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field

from plantainyoke.network import Address, DatagramSocket, serve_connections
from plantainyoke.telemetry import Metrics, TaskSet

MAX_READ_BYTES = 65_536
CUT_POLL_INTERVAL_S = 0.02  # bytes flow again within this time after a cut ends
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER on, 0 s: close sends RST, not FIN


@dataclass
class Direction:
    """Faults applied to the traffic from one process to another.

    Attributes
    ----------
    loss : float
        Share of the datagrams that is dropped, in [0, 1].
    delay_s : float
        Delay in seconds. Each datagram's delay varies by up to 50 %, so that datagrams
        overtake each other; each read of a stream waits for this time.
    is_cut : bool
        Whether datagrams are dropped and the bytes of streams are held back.
    """

    loss: float = 0.0
    delay_s: float = 0.0
    is_cut: bool = False


@dataclass(eq=False)
class Connection:
    """Proxied TCP connection.

    Attributes
    ----------
    source, destination : str
        Names of the process that opened the connection and of the one it reached.
    writers : tuple of asyncio.StreamWriter
        Writers to the source and to the destination.
    is_silent : bool
        Whether the proxy discards all data of the connection.
    """

    source: str
    destination: str
    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    is_silent: bool = False

    def reset(self) -> None:
        """Close the connection with a TCP reset at both ends."""
        for writer in self.writers:
            sock = writer.get_extra_info("socket")
            if sock is None:
                continue  # the transport is already closed
            with suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            writer.transport.abort()


@dataclass
class ProxiedNetwork:
    """Proxy for the datagrams and connections between the processes of a site.

    Attributes
    ----------
    rng : random.Random
    stack : contextlib.AsyncExitStack
        Closes the sockets and tasks of the proxy.
    directions : dict of (str, str) to Direction
        Faults by names of source and destination.
    connections : set of Connection
        Open proxied connections.
    senders : dict of str to DatagramSocket
        Socket that forwards the datagrams of each process.
    """

    rng: random.Random
    stack: AsyncExitStack
    directions: dict[tuple[str, str], Direction] = field(default_factory=dict)
    connections: set[Connection] = field(default_factory=set)
    senders: dict[str, DatagramSocket] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.metrics = Metrics()
        self.tasks = TaskSet(self.metrics)
        self.stack.push_async_callback(self.tasks.aclose)

    def get_direction(self, source: str, destination: str) -> Direction:
        """Return the faults from one process to another, none by default."""
        return self.directions.setdefault((source, destination), Direction())

    def reset_connections(self, share: float) -> None:
        """Reset a random share of the connections."""
        for connection in self._sample_connections(share):
            connection.reset()

    def silence_connections(self, share: float) -> None:
        """Discard all further data of a random share of the connections."""
        for connection in self._sample_connections(share):
            connection.is_silent = True

    def heal(self) -> None:
        """Clear the faults of all directions; silent connections stay silent."""
        self.directions.clear()

    def add_sender(self, name: str, ip: str) -> None:
        """Open the socket that forwards the datagrams of a process.

        It is bound to the process's IP address, which receivers see as the source.
        """
        sender = DatagramSocket((ip, 0), lambda *_: None, self.metrics)
        self.stack.callback(sender.close)
        self.senders[name] = sender

    def forward_datagrams(
        self,
        source: str,
        destination: str,
        listen_address: Address,
        destination_address: Address,
    ) -> None:
        """Forward the datagrams that one process sends to another."""

        def forward(datagram: bytes, _: Address) -> None:
            direction = self.get_direction(source, destination)
            if direction.is_cut or self.rng.random() < direction.loss:
                return
            send = self.senders[source].send
            if direction.delay_s:
                delay_s = direction.delay_s * self.rng.uniform(0.5, 1.5)
                asyncio.get_running_loop().call_later(
                    delay_s, send, datagram, destination_address
                )
            else:
                send(datagram, destination_address)

        receiver = DatagramSocket(listen_address, forward, self.metrics)
        self.stack.callback(receiver.close)

    async def forward_connections(
        self,
        source: str,
        destination: str,
        listen_address: Address,
        destination_address: Address,
        source_ip: str,
    ) -> None:
        """Forward the connections that one process opens to another."""

        async def serve(reader, writer) -> None:
            try:
                destination_reader, destination_writer = await asyncio.open_connection(
                    *destination_address, local_addr=(source_ip, 0)
                )
            except OSError:
                writer.transport.abort()
                return
            connection = Connection(source, destination, (writer, destination_writer))
            self.connections.add(connection)
            outbound = self._pump(
                connection, source, destination, reader, destination_writer
            )
            inbound = self._pump(
                connection, destination, source, destination_reader, writer
            )
            pumps = [
                self.tasks.start_task(pump, name="pump") for pump in (outbound, inbound)
            ]
            await asyncio.wait(pumps)
            self.connections.discard(connection)

        await serve_connections(serve, listen_address, self.stack, metrics=self.metrics)

    async def _pump(self, connection, source, destination, reader, writer) -> None:
        with suppress(OSError):
            while chunk := await reader.read(MAX_READ_BYTES):
                if connection.is_silent:
                    continue
                while self.get_direction(source, destination).is_cut:
                    await asyncio.sleep(CUT_POLL_INTERVAL_S)
                if delay_s := self.get_direction(source, destination).delay_s:
                    await asyncio.sleep(delay_s)
                writer.write(chunk)
                await writer.drain()
        writer.close()

    def _sample_connections(self, share: float) -> list[Connection]:
        return [one for one in self.connections if self.rng.random() < share]
