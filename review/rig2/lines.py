"""Stand-in for callers with standing lines."""

import asyncio

from review.rig2.ends import (
    ACK,
    COPY_TIMES_S,
    FIN,
    OPEN_TIMEOUT_S,
    RST,
    SYN,
    Callers,
    write,
)

REQUEST_INTERVAL_S = 0.5
PAUSE_S = 1.0  # between the end of a line and its next flow


class Line:
    """Caller that keeps a flow open and sends a request from time to time.

    If the target closes the flow, which is then closed by both ends, the caller opens
    the next one from the same port. If a flow does not open or is reset, the next one
    comes from a new port.
    """

    def __init__(self, callers: Callers, first_port: int) -> None:
        self.callers, self.port = callers, first_port
        self.loop = asyncio.get_running_loop()
        self.tries: list[dict] = []
        self.answered: dict[bytes, float] = {}
        self.is_pausing = False
        self.start()

    def start(self) -> None:
        """Open a flow."""
        self.state, self.seq, self.ack = "opening", 101, 0
        self.callers.attempts[self.port] = self
        one = {"port": self.port, "sent_at": self.loop.time(), "outcome": "open"}
        self.tries.append(one)
        number = len(self.tries)
        for copy, delay_s in enumerate(COPY_TIMES_S):
            self.loop.call_later(delay_s, self._send_first, number, copy)
        self.loop.call_later(OPEN_TIMEOUT_S, self._give_up, number)

    def _send_first(self, number: int, copy: int) -> None:
        if self.state == "opening" and number == len(self.tries):
            self._send(SYN, seq=100, ack=copy)

    def _give_up(self, number: int) -> None:
        if self.state == "opening" and number == len(self.tries):
            self._fail("not opened")

    def _fail(self, outcome: str) -> None:
        self.tries[-1]["outcome"] = outcome
        self.state = "closed"
        self.port += 1
        self.loop.call_later(PAUSE_S, self.start)

    def _send(self, flags: int, *, seq: int, ack: int, data: bytes = b"") -> None:
        packet = write(
            flags,
            (self.callers.host, self.port),
            self.callers.service,
            seq=seq,
            ack=ack,
            data=data,
        )
        self.callers.send(packet, self.port)

    def resume(self) -> None:
        """Send requests again after a pause."""
        self.is_pausing = False
        self._request(len(self.tries))

    def _request(self, number: int) -> None:
        if self.state != "open" or number != len(self.tries) or self.is_pausing:
            return
        data = f"line {self.port} request {self.loop.time():.4f}".encode()
        self._transmit(number, self.seq, data, 0)
        self.seq += len(data)
        self.loop.call_later(REQUEST_INTERVAL_S, self._request, number)

    def _transmit(self, number: int, seq: int, data: bytes, attempt: int) -> None:
        is_done = data in self.answered or self.state != "open"
        if is_done or number != len(self.tries) or attempt > 5:
            return
        self._send(ACK, seq=seq, ack=self.ack, data=data)
        delay_s = min(0.2 * 2**attempt, 1.6)
        self.loop.call_later(delay_s, self._transmit, number, seq, data, attempt + 1)

    def receive(self, packet) -> None:
        """Handle a packet for this flow."""
        if packet.flags & RST:
            if self.state != "closed":
                self.tries[-1]["reset_at"] = self.loop.time()
                self._fail("reset" if self.state == "open" else "refused")
        elif packet.flags & SYN:
            if self.state == "opening":
                self.state = "open"
                self.tries[-1]["opened_at"] = self.loop.time()
                self.ack = packet.seq + 1
                self._send(ACK, seq=101, ack=self.ack)
                self._request(len(self.tries))
        elif self.state == "open":
            if packet.data.startswith(b"ran "):
                self.answered[packet.data[4:]] = self.loop.time()
                self.ack = packet.seq + len(packet.data)
            if packet.flags & FIN:
                self._send(ACK | FIN, seq=self.seq, ack=packet.seq + 1)
                self.tries[-1]["outcome"] = "closed by the target"
                self.state = "closed"
                self.loop.call_later(PAUSE_S, self.start)
