"""QUIC connection from a caller to an agent, with HTTP/3 requests on its streams.

Also sends PING probes, so that a path which drops packets without an error is noticed
long before the idle timeout.
"""

import asyncio
import itertools
from contextlib import AsyncExitStack

from aioquic.h3.connection import H3_ALPN
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.events import (
    HandshakeCompleted,
    PingAcknowledged,
    QuicEvent,
    StreamReset,
)

from plantainyoke.caller._errors import (
    AnswerCutError,
    ConnectError,
    ConnectionLostError,
    RefusedError,
)
from plantainyoke.caller._silence import (
    IDLE_PING_INTERVAL_S,
    REQUEST_PING_INTERVAL_S,
    WATCH_PING_INTERVAL_S,
    SilenceDetector,
)
from plantainyoke.caller._stream import Headers, ResponseStream
from plantainyoke.network import (
    Address,
    DatagramSocket,
)
from plantainyoke.quic import (
    H3_NO_ERROR,
    H3_REQUEST_CANCELLED,
    H3_REQUEST_REJECTED,
    CallerQuicConnection,
    ConnectionDriver,
    GoawayH3Connection,
    get_server_initial_id,
)
from plantainyoke.telemetry import Metrics

IDLE_TIMEOUT_S = 60.0
PROBE_CHECK_INTERVAL_S = 0.1


class CallerConnection:
    """Connection to the agent that answers at a service address.

    Parameters
    ----------
    address : Address
        Service address.
    server_name : str
    certificate_authority : str
        Path of a PEM file.
    epoch : int, default=0
        Sequence number of this connection in its session.
    routing_token : bytes, default=b""
        Routes the handshake to the agent that issued it, empty for any agent.

    Attributes
    ----------
    closed : asyncio.Event
        Set once the connection has ended.
    silent : asyncio.Event
        Set while probes are unanswered, cleared by the next datagram.
    goaway_received : asyncio.Event
        Set once the agent has sent GOAWAY; new requests need another connection.
    """

    def __init__(
        self,
        address: Address,
        *,
        server_name: str,
        certificate_authority: str,
        epoch: int = 0,
        routing_token: bytes = b"",
    ) -> None:
        self.address = address
        self.epoch = epoch
        configuration = QuicConfiguration(
            is_client=True,
            alpn_protocols=H3_ALPN,
            server_name=server_name,
            idle_timeout=IDLE_TIMEOUT_S,
            token=routing_token,
        )
        configuration.load_verify_locations(certificate_authority)
        self.quic = CallerQuicConnection(configuration=configuration)
        self.driver = ConnectionDriver(self.quic, self._send, self._handle_event)
        self.loop = asyncio.get_running_loop()
        self.stack = AsyncExitStack()
        self.socket: DatagramSocket | None = None
        self.h3: GoawayH3Connection | None = None
        self.streams: dict[int, ResponseStream] = {}
        self.settings_received = asyncio.Event()
        self.closed = asyncio.Event()
        self.silent = asyncio.Event()
        self.goaway_received = asyncio.Event()
        self.ping_ids = itertools.count(1)
        self.silence_detector = SilenceDetector(self.loop.time())

    async def open(self, timeout_s: float) -> None:
        """Complete the handshake and wait for the agent's incarnation.

        Parameters
        ----------
        timeout_s : float

        Raises
        ------
        ConnectError
            If the handshake fails or does not end in time.
        """
        self.socket = DatagramSocket(("0.0.0.0", 0), self._receive, Metrics())
        self.stack.callback(self.socket.close)
        self.quic.connect(self.address, now=self.loop.time())
        for coroutine in (self._run(), self._probe_path()):
            task = self.loop.create_task(coroutine)
            self.stack.push_async_callback(_cancel, task)
        try:
            async with asyncio.timeout(timeout_s):
                await self._wait_for_settings()
        except TimeoutError:
            await self.aclose()
            raise ConnectError(
                f"handshake with {self.address[0]}:{self.address[1]} timed out after "
                f"{timeout_s} s"
            ) from None
        if self.closed.is_set():
            await self.aclose()
            raise ConnectError(
                f"handshake with {self.address[0]}:{self.address[1]} failed: the "
                "connection closed before the HTTP/3 settings arrived"
            )

    @property
    def incarnation(self) -> int:
        """Incarnation from the agent's HTTP/3 settings, 0 if they have none."""
        return self.h3.peer_incarnation or 0

    @property
    def routing_token(self) -> bytes:
        """Token that routes a new connection to the same agent."""
        return get_server_initial_id(self.quic) or b""

    @property
    def is_usable(self) -> bool:
        """Whether new requests may be sent on this connection."""
        return not (
            self.closed.is_set()
            or self.silent.is_set()
            or self.goaway_received.is_set()
        )

    def send_request(
        self, headers: Headers, body: bytes, *, is_watch: bool = False
    ) -> ResponseStream:
        """Send a request and return the stream of its answer.

        Parameters
        ----------
        headers : list of (bytes, bytes)
        body : bytes
        is_watch : bool, default=False
            Whether the answer is an unbounded stream of events.

        Raises
        ------
        ConnectionLostError
            If the connection is closed.
        """
        if self.closed.is_set():
            raise ConnectionLostError
        stream_id = self.quic.get_next_available_stream_id()
        stream = ResponseStream(stream_id, is_watch)
        self.streams[stream_id] = stream
        self.h3.send_headers(stream_id, headers, end_stream=not body)
        if body:
            self.h3.send_data(stream_id, body, end_stream=True)
        self.driver.wake()
        return stream

    def cancel(self, stream: ResponseStream) -> None:
        """Cancel a request unless its stream has already ended."""
        if self.streams.pop(stream.stream_id, None) is None or stream.is_ended:
            return
        if not self.closed.is_set():
            self.quic.stop_stream(stream.stream_id, H3_REQUEST_CANCELLED)
            self.quic.reset_stream(stream.stream_id, H3_REQUEST_CANCELLED)
            self.driver.wake()

    async def aclose(self) -> None:
        """Close the connection and end its streams."""
        if not self.closed.is_set():
            self.quic.close(error_code=H3_NO_ERROR)
            self.driver.flush()
        await self.stack.aclose()
        self._handle_close()

    async def _wait_for_settings(self) -> None:
        tasks = [
            self.loop.create_task(event.wait())
            for event in (self.settings_received, self.closed)
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()

    async def _run(self) -> None:
        try:
            await self.driver.run()
        finally:
            self._handle_close()

    def _handle_close(self) -> None:
        self.closed.set()
        for stream in self.streams.values():
            stream.end(ConnectionLostError())

    def _send(self, datagram: bytes, destination: Address) -> None:
        self.socket.send(datagram, destination)

    def _receive(self, datagram: bytes, source: Address) -> None:
        if self.quic.is_stateless_reset(datagram):
            self._handle_close()
            return
        self.silent.clear()
        self.driver.receive_datagram(datagram, source)

    def _handle_event(self, event: QuicEvent) -> None:
        if isinstance(event, HandshakeCompleted):
            self.h3 = GoawayH3Connection(self.quic)
        if isinstance(event, PingAcknowledged) or self.h3 is None:
            return
        if isinstance(event, StreamReset):
            self._handle_stream_reset(event.stream_id, event.error_code)
        for h3_event in self.h3.handle_event(event):
            self._handle_h3_event(h3_event)
        if self.h3.peer_incarnation is not None:
            self.settings_received.set()
        if self.h3.goaway_received:
            self.goaway_received.set()

    def _handle_h3_event(self, event: H3Event) -> None:
        if not isinstance(event, HeadersReceived | DataReceived):
            return
        stream = self.streams.get(event.stream_id)
        if stream is None:
            return
        if isinstance(event, HeadersReceived):
            stream.receive_headers(event.headers)
        else:
            stream.receive_data(event.data)
        if event.stream_ended:
            stream.end()
            del self.streams[event.stream_id]

    def _handle_stream_reset(self, stream_id: int, error_code: int) -> None:
        stream = self.streams.pop(stream_id, None)
        if stream is None:
            return
        if error_code == H3_REQUEST_REJECTED:
            stream.end(RefusedError("rejected"))
        else:
            stream.end(AnswerCutError())

    async def _probe_path(self) -> None:
        """Send PING frames and set ``silent`` if they are unanswered."""
        while not self.closed.is_set():
            await asyncio.sleep(PROBE_CHECK_INTERVAL_S)
            now = self.loop.time()
            if self.silence_detector.check_probe_due(
                now,
                received_at=self.driver.received_at,
                interval_s=self._get_ping_interval_s(),
            ):
                self.quic.send_ping(next(self.ping_ids))
                self.driver.wake()
            if self.silence_detector.is_silent(now) and self.streams:
                self.silent.set()

    def _get_ping_interval_s(self) -> float:
        """Return the time without a datagram after which to send a probe.

        Watches are probed less often than requests: most sessions only watch, and
        their probes are most of the packets of an idle fleet. Requests are few, and
        their callers wait for the answer.
        """
        if not self.streams:
            return IDLE_PING_INTERVAL_S
        if all(stream.is_watch for stream in self.streams.values()):
            return WATCH_PING_INTERVAL_S
        return REQUEST_PING_INTERVAL_S


async def _cancel(task: asyncio.Task) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
