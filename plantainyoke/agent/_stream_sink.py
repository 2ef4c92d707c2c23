"""Writes answers to HTTP/3 streams.

Limits the bytes buffered for each stream, so that a slow caller slows the upstream down
instead of filling the agent's memory.
"""

from typing import Protocol

from aioquic.quic.connection import QuicConnection

from plantainyoke.agent._messages import Headers
from plantainyoke.quic import ConnectionDriver, GoawayH3Connection, count_pending_bytes

MAX_PENDING_BYTES = 262_144


class StreamOwner(Protocol):
    """The connection that a stream belongs to."""

    quic: QuicConnection
    h3: GoawayH3Connection
    driver: ConnectionDriver

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended and can send nothing."""


class StreamSink:
    """Writes an answer to one HTTP/3 stream.

    Parameters
    ----------
    connection : StreamOwner
    stream_id : int

    Attributes
    ----------
    is_started : bool
        Whether the status and headers were sent.
    """

    def __init__(self, connection: StreamOwner, stream_id: int) -> None:
        self.connection = connection
        self.stream_id = stream_id
        self.is_started = False

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status and headers."""
        self.is_started = True
        if self.connection.is_closed:
            return
        self.connection.h3.send_headers(
            self.stream_id, [(b":status", str(status).encode()), *headers]
        )
        self.connection.driver.wake()

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body; wait while too many bytes are unsent."""
        connection = self.connection
        if connection.is_closed:
            return
        connection.h3.send_data(self.stream_id, data, end_stream=False)
        connection.driver.wake()
        while (
            not connection.is_closed
            and count_pending_bytes(connection.quic, self.stream_id) > MAX_PENDING_BYTES
        ):
            await connection.driver.wait_for_progress()

    async def finish(self, data: bytes = b"") -> None:
        """Send the last chunk and the end of the body."""
        if self.connection.is_closed:
            return
        self.connection.h3.send_data(self.stream_id, data, end_stream=True)
        self.connection.driver.wake()
