"""Non-blocking UDP socket that is read in batches.

Used for the messages between processes, the packets of flows and QUIC.
"""

import asyncio
import socket
from collections.abc import Callable

from plantainyoke.network._address import Address
from plantainyoke.telemetry import Metrics

RECEIVE_BUFFER_BYTES = 4096
MAX_BATCH_DATAGRAMS = 32
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024


class DatagramSocket:
    """Passes received datagrams to a callback and sends without blocking.

    The socket is read directly, in batches, because a task or a transport for each
    datagram costs more than the routing decision.

    Parameters
    ----------
    address : Address
        Local address to bind to.
    receive : callable
        Called with ``(datagram, source)`` for each datagram.
    metrics : Metrics
        Counts failures to send and to receive.
    """

    def __init__(
        self,
        address: Address,
        receive: Callable[[bytes, Address], None],
        metrics: Metrics,
    ) -> None:
        self.receive = receive
        self.metrics = metrics
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        try:
            self.socket.bind(address)
        except OSError:
            self.socket.close()
            raise
        self.loop = asyncio.get_running_loop()
        self.loop.add_reader(self.socket.fileno(), self._read_batch)

    @property
    def address(self) -> Address:
        """Local address."""
        return self.socket.getsockname()

    def send(self, datagram: bytes, destination: Address) -> bool:
        """Send one datagram.

        If the send buffer is full or the send fails, the datagram is dropped and
        counted.

        Returns
        -------
        bool
            Whether the datagram was sent.
        """
        try:
            self.socket.sendto(datagram, destination)
        except (BlockingIOError, OSError):
            self.metrics.count("datagram.send_failed")
            return False
        return True

    def close(self) -> None:
        """Stop reading and close the socket."""
        if self.socket.fileno() >= 0:
            self.loop.remove_reader(self.socket.fileno())
            self.socket.close()

    def _read_batch(self) -> None:
        receive_from = self.socket.recvfrom
        for _ in range(MAX_BATCH_DATAGRAMS):
            try:
                datagram, source = receive_from(RECEIVE_BUFFER_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self.metrics.count("datagram.receive_failed")
                return
            self.receive(datagram, source)
