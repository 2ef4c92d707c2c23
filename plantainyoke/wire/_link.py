"""Authenticated frames on a TCP stream between two processes.

The authentication code of a frame also covers both nonces of the handshake and the
direction, and frames are numbered. A frame can therefore not be replayed on the same
link, on another one, or in the other direction.
"""

import asyncio
import os
import struct

import capnp

from plantainyoke.network import TransferDeadline, read_exactly
from plantainyoke.wire._errors import AuthenticationError, MalformedError
from plantainyoke.wire._mac import MAC_SIZE, MessageAuthenticator
from plantainyoke.wire._schema import schema

LENGTH = struct.Struct("!I")
MAX_FRAME_SIZE = 4 * 1024 * 1024
NONCE_SIZE = 16
LINK_HANDSHAKE_TIMEOUT_S = 3.0


class FrameWriter:
    """Writes signed frames with consecutive sequence numbers.

    Parameters
    ----------
    writer : asyncio.StreamWriter
    authenticator : MessageAuthenticator
    signing_context : bytes
        Both nonces of the link and the direction; the authentication code of each frame
        covers it.
    """

    def __init__(
        self, writer, authenticator: MessageAuthenticator, signing_context: bytes
    ):
        self.writer = writer
        self.authenticator = authenticator
        self.signing_context = signing_context
        self.sequence = 0

    def write(self, frame) -> None:
        """Queue a ``Frame`` builder for sending."""
        self.sequence += 1
        frame.sequence = self.sequence
        content = frame.to_bytes()
        code = self.authenticator.sign(self.signing_context + content)
        self.writer.write(LENGTH.pack(len(content)) + code + content)

    async def drain(self) -> None:
        """Wait while the send buffer is full."""
        await self.writer.drain()

    def close(self) -> None:
        """Close the stream."""
        self.writer.close()


class FrameReader:
    """Reads signed frames and checks their codes and order.

    Parameters
    ----------
    reader : asyncio.StreamReader
    authenticator : MessageAuthenticator
    signing_context : bytes
        The value that the peer's ``FrameWriter`` has.

    Attributes
    ----------
    progress : TransferDeadline
        Counts the bytes that have arrived; a link may be silent between frames.
    """

    def __init__(
        self, reader, authenticator: MessageAuthenticator, signing_context: bytes
    ):
        self.reader = reader
        self.authenticator = authenticator
        self.signing_context = signing_context
        self.sequence = 0
        self.progress = TransferDeadline(float("inf"), 0.0)

    async def read(self):
        """Return the next ``Frame``.

        Raises
        ------
        AuthenticationError, MalformedError
            If the frame is forged, replayed, too large or not a frame.
        asyncio.IncompleteReadError
            If the peer closed the stream.
        """
        (length,) = LENGTH.unpack(await self._read(LENGTH.size))
        if length > MAX_FRAME_SIZE:
            raise MalformedError(
                f"frame of {length} bytes exceeds the limit of {MAX_FRAME_SIZE}"
            )
        code = await self._read(MAC_SIZE)
        content = await self._read(length)
        if not self.authenticator.verify(code, self.signing_context + content):
            raise AuthenticationError
        try:
            with schema.Frame.from_bytes(content) as reader:
                frame = reader.to_dict(encode_bytes_as_base64=False)
        except (capnp.KjException, ValueError) as error:
            raise MalformedError(
                f"frame of {length} bytes cannot be decoded: {type(error).__name__}"
            ) from error
        self.sequence += 1
        if frame["sequence"] != self.sequence:
            raise MalformedError(
                f"frame with sequence number {frame['sequence']}, "
                f"expected {self.sequence}"
            )
        return frame

    async def _read(self, size: int) -> bytes:
        return await read_exactly(self.reader, size, self.progress)


async def handshake_link(
    reader, writer, authenticator: MessageAuthenticator, *, initiator: bool
) -> tuple[FrameReader, FrameWriter]:
    """Exchange nonces and return the reader and the writer of a link.

    The handshake does not authenticate the peer: if the peer has none of the keys, the
    first ``read`` of the reader raises ``AuthenticationError``.

    Parameters
    ----------
    reader : asyncio.StreamReader
    writer : asyncio.StreamWriter
    authenticator : MessageAuthenticator
    initiator : bool
        Whether this process opened the connection.

    Raises
    ------
    TimeoutError
        If the peer does not answer within ``LINK_HANDSHAKE_TIMEOUT_S``.
    """
    own_nonce = os.urandom(NONCE_SIZE)
    writer.write(own_nonce)
    async with asyncio.timeout(LINK_HANDSHAKE_TIMEOUT_S):
        peer_nonce = await reader.readexactly(NONCE_SIZE)
    first, second = (own_nonce, peer_nonce) if initiator else (peer_nonce, own_nonce)
    to_peer, from_peer = (b">", b"<") if initiator else (b"<", b">")
    nonces = first + second
    return (
        FrameReader(reader, authenticator, nonces + from_peer),
        FrameWriter(writer, authenticator, nonces + to_peer),
    )
