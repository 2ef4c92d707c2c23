"""Authenticated frames on a TCP stream between two processes."""

import asyncio
import os
import struct

import capnp

from plantainyoke.wire._errors import AuthenticationError, MalformedError
from plantainyoke.wire._mac import MAC_SIZE, MessageAuthenticator
from plantainyoke.wire._schema import schema

LENGTH = struct.Struct("!I")
MAX_FRAME_SIZE = 4 * 1024 * 1024
NONCE_SIZE = 16
LINK_HANDSHAKE_TIMEOUT_S = 3.0


class FrameWriter:
    """Writes signed frames with a rising sequence number.

    Parameters
    ----------
    writer : asyncio.StreamWriter
    authenticator : MessageAuthenticator
    session : bytes
        Both nonces of the link; binds each frame to this link and direction.
    """

    def __init__(self, writer, authenticator: MessageAuthenticator, session: bytes):
        self.writer = writer
        self.authenticator = authenticator
        self.session = session
        self.sequence = 0

    def write(self, frame) -> None:
        """Queue a ``Frame`` builder for sending."""
        self.sequence += 1
        frame.sequence = self.sequence
        content = frame.to_bytes()
        code = self.authenticator.sign(self.session + content)
        self.writer.write(LENGTH.pack(len(content)) + code + content)

    async def drain(self) -> None:
        """Wait until the peer keeps up."""
        await self.writer.drain()

    def close(self) -> None:
        """Close the stream."""
        self.writer.close()


class FrameReader:
    """Reads and checks signed frames in order."""

    def __init__(self, reader, authenticator: MessageAuthenticator, session: bytes):
        self.reader = reader
        self.authenticator = authenticator
        self.session = session
        self.sequence = 0

    async def read(self):
        """Return the next ``Frame``.

        Raises
        ------
        AuthenticationError, MalformedError
            If the frame is forged, replayed, too large or not a frame.
        asyncio.IncompleteReadError
            If the peer closed the stream.
        """
        (length,) = LENGTH.unpack(await self.reader.readexactly(LENGTH.size))
        if length > MAX_FRAME_SIZE:
            raise MalformedError("size")
        code = await self.reader.readexactly(MAC_SIZE)
        content = await self.reader.readexactly(length)
        if not self.authenticator.verify(code, self.session + content):
            raise AuthenticationError
        try:
            with schema.Frame.from_bytes(content) as reader:
                frame = reader.to_dict(encode_bytes_as_base64=False)
        except (capnp.KjException, ValueError) as error:
            raise MalformedError(type(error).__name__) from error
        self.sequence += 1
        if frame["sequence"] != self.sequence:
            raise MalformedError("sequence")
        return frame


async def handshake_link(
    reader, writer, authenticator: MessageAuthenticator, *, initiator: bool
) -> tuple[FrameReader, FrameWriter]:
    """Exchange nonces and return the two ends of a link.

    Raises
    ------
    AuthenticationError
        On the first read, if the peer holds none of the keys.
    TimeoutError
        If the peer does not answer within ``LINK_HANDSHAKE_TIMEOUT_S``.
    """
    own = os.urandom(NONCE_SIZE)
    writer.write(own)
    async with asyncio.timeout(LINK_HANDSHAKE_TIMEOUT_S):
        other = await reader.readexactly(NONCE_SIZE)
    first, second = (own, other) if initiator else (other, own)
    to_peer, from_peer = (b">", b"<") if initiator else (b"<", b">")
    nonces = first + second
    return (
        FrameReader(reader, authenticator, nonces + from_peer),
        FrameWriter(writer, authenticator, nonces + to_peer),
    )
