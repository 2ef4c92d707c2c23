"""Datagram relay between callers and balancers, with loss, duplication and delay.

It models a network fabric that may deliver any two packets of a caller to different
balancers.
"""

import asyncio
import random
from dataclasses import dataclass, field

from plantainyoke.network import (
    Address,
    DatagramSocket,
)
from plantainyoke.telemetry import Metrics


@dataclass
class Fabric:
    """Relays one service address to balancers, chosen at random for each packet.

    Attributes
    ----------
    address : Address
        Service address to which callers send.
    offsets : list of int
        Port offsets of the balancers in rotation.
    rng : random.Random
    loss, duplication : float
        Shares of packets lost or sent twice, in both directions.
    delay_s, jitter_s : float
        One-way delay and the upper bound of a uniform random addition; jitter reorders
        packets.
    silenced : set of Address
        Callers whose packets are lost in both directions.
    sockets : dict of Address to DatagramSocket
        Socket that sends to balancers, by caller.
    counts : dict of int to int
        Packets of callers sent to each balancer, by port offset.
    """

    address: Address
    offsets: list[int]
    rng: random.Random
    loss: float = 0.0
    duplication: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0
    silenced: set[Address] = field(default_factory=set)
    sockets: dict[Address, DatagramSocket] = field(default_factory=dict)
    counts: dict[int, int] = field(default_factory=dict)

    def open(self) -> None:
        """Start relaying."""
        self.metrics = Metrics()
        self.loop = asyncio.get_running_loop()
        self.socket = DatagramSocket(
            self.address, self._receive_from_caller, self.metrics
        )

    def close(self) -> None:
        """Stop relaying."""
        self.socket.close()
        for caller_socket in self.sockets.values():
            caller_socket.close()

    def _receive_from_caller(self, datagram: bytes, caller: Address) -> None:
        if caller in self.silenced or not self.offsets:
            return
        caller_socket = self.sockets.get(caller)
        if caller_socket is None:
            caller_socket = self._open_socket(caller)
        for _ in range(self._draw_packet_count()):
            offset = self.rng.choice(self.offsets)
            self.counts[offset] = self.counts.get(offset, 0) + 1
            destination = (self.address[0], self.address[1] + offset)
            self._send(caller_socket, datagram, destination)

    def _receive_from_balancer(self, datagram: bytes, caller: Address) -> None:
        if caller in self.silenced:
            return
        for _ in range(self._draw_packet_count()):
            self._send(self.socket, datagram, caller)

    def _open_socket(self, caller: Address) -> DatagramSocket:
        def receive(datagram: bytes, source: Address) -> None:
            self._receive_from_balancer(datagram, caller)

        caller_socket = DatagramSocket(("127.0.0.1", 0), receive, self.metrics)
        self.sockets[caller] = caller_socket
        return caller_socket

    def _draw_packet_count(self) -> int:
        if self.loss and self.rng.random() < self.loss:
            return 0
        return 2 if self.duplication and self.rng.random() < self.duplication else 1

    def _send(self, sender: DatagramSocket, datagram: bytes, to: Address) -> None:
        delay_s = self.delay_s + self.rng.random() * self.jitter_s
        if delay_s > 0:
            self.loop.call_later(delay_s, self._send_now, sender, datagram, to)
        else:
            sender.send(datagram, to)

    def _send_now(self, sender: DatagramSocket, datagram: bytes, to: Address) -> None:
        if sender.socket.fileno() >= 0:
            sender.send(datagram, to)
