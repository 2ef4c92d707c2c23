"""Extensions of aioquic that depend on its private attributes.

aioquic has no hook for connection IDs, does not send or recognise stateless resets,
and neither sends nor reports GOAWAY.

References
----------
RFC 9000 sections 5.1 and 10.3, RFC 9114 section 5.2.
"""

import hmac
import os
from collections.abc import Callable, Mapping

from aioquic.buffer import encode_uint_var
from aioquic.h3.connection import FrameType, H3Connection, encode_frame
from aioquic.quic.connection import (
    QuicConnection,
    QuicConnectionId,
    QuicConnectionState,
)

INCARNATION_SETTING = 0x706C61  # unassigned HTTP/3 setting identifier
H3_NO_ERROR = 0x100
H3_INTERNAL_ERROR = 0x102
H3_REQUEST_REJECTED = 0x10B
H3_REQUEST_CANCELLED = 0x10C
RESET_TOKEN_SIZE = 16
MIN_RESET_SIZE = 21
MAX_RESET_SIZE = 40
MAX_ACTIVE_CONNECTION_IDS = 4
ROTATION_SHIFT = 5  # QUIC-LB: the rotation is in the high 3 bits of the first octet


def derive_reset_token(secret: bytes, connection_id: bytes) -> bytes:
    """Return the stateless reset token of a connection ID."""
    return hmac.digest(secret, connection_id, "sha256")[:RESET_TOKEN_SIZE]


def build_stateless_reset(token: bytes, received_size: int) -> bytes | None:
    """Return a stateless reset, None if the received packet is too small.

    The reset is smaller than the packet that it answers, so that two endpoints
    cannot send each other resets without end.
    """
    size = min(received_size - 1, MAX_RESET_SIZE)
    if size < MIN_RESET_SIZE:
        return None
    prefix = bytearray(os.urandom(size - RESET_TOKEN_SIZE))
    prefix[0] = prefix[0] & 0x3F | 0x40
    return bytes(prefix) + token


def build_connection_reset(
    secrets: Mapping[int, bytes], connection_id: bytes, received_size: int
) -> bytes | None:
    """Return the stateless reset of a connection with a routable connection ID.

    Parameters
    ----------
    secrets : mapping of int to bytes
        Routing secrets by rotation.
    connection_id : bytes
        Its first octet contains the rotation of the key that issued it.
    received_size : int
        Size in bytes of the packet that is answered.

    Returns
    -------
    packet : bytes or None
        None if the received packet is too small to answer.
    """
    secret = secrets[connection_id[0] >> ROTATION_SHIFT]
    return build_stateless_reset(
        derive_reset_token(secret, connection_id), received_size
    )


class RoutedQuicConnection(QuicConnection):
    """Server connection whose connection IDs come from ``issue_connection_id``.

    Parameters
    ----------
    issue_connection_id : callable
        Returns a new connection ID.
    reset_secret : bytes
        Key from which the stateless reset tokens are derived.
    **kwargs
        Arguments of ``QuicConnection``.
    """

    def __init__(
        self, *, issue_connection_id: Callable[[], bytes], reset_secret: bytes, **kwargs
    ) -> None:
        super().__init__(**kwargs)
        self.issue_connection_id = issue_connection_id
        self.reset_secret = reset_secret
        first_id = self._new_connection_id(sequence_number=0)
        first_id.was_sent = True
        self._host_cids = [first_id]
        self.host_cid = first_id.cid
        self._local_initial_source_connection_id = first_id.cid

    @property
    def has_authentic_initial(self) -> bool:
        """Whether an authentic Initial packet has arrived."""
        return self._state is not QuicConnectionState.FIRSTFLIGHT

    def _new_connection_id(self, sequence_number: int) -> QuicConnectionId:
        connection_id = self.issue_connection_id()
        return QuicConnectionId(
            cid=connection_id,
            sequence_number=sequence_number,
            stateless_reset_token=derive_reset_token(self.reset_secret, connection_id),
        )

    def _replenish_connection_ids(self) -> None:
        limit = min(MAX_ACTIVE_CONNECTION_IDS, self._remote_active_connection_id_limit)
        while len(self._host_cids) < limit:
            self._host_cids.append(self._new_connection_id(self._host_cid_seq))
            self._host_cid_seq += 1


class CallerQuicConnection(QuicConnection):
    """Connection of a caller that recognises stateless resets."""

    def is_stateless_reset(self, datagram: bytes) -> bool:
        """Return whether a datagram is a stateless reset of this connection."""
        token = self._peer_cid.stateless_reset_token
        if not token or len(datagram) < MIN_RESET_SIZE or datagram[0] & 0x80:
            return False
        return hmac.compare_digest(datagram[-RESET_TOKEN_SIZE:], token)


def get_server_connection_id(quic: QuicConnection) -> bytes:
    """Return the connection ID that a client currently sends to."""
    return quic._peer_cid.cid


def get_server_initial_id(quic: QuicConnection) -> bytes | None:
    """Return the server's first connection ID, None before it has answered."""
    return quic._remote_initial_source_connection_id


def count_pending_bytes(quic: QuicConnection, stream_id: int) -> int:
    """Return the number of bytes of a stream that are buffered for sending."""
    stream = quic._streams.get(stream_id)
    return len(stream.sender._buffer) if stream is not None else 0


class GoawayH3Connection(H3Connection):
    """HTTP/3 connection with GOAWAY and an incarnation setting.

    Parameters
    ----------
    quic : QuicConnection
    incarnation : int, default=0
        Sent by an agent in SETTINGS, less than 2**62; 0 is not sent.

    Attributes
    ----------
    goaway_received, goaway_sent : bool
    """

    def __init__(self, quic: QuicConnection, *, incarnation: int = 0) -> None:
        self.incarnation = incarnation
        self.goaway_received = False
        self.goaway_sent = False
        super().__init__(quic)

    @property
    def peer_incarnation(self) -> int | None:
        """Incarnation in the peer's SETTINGS, None before they arrive."""
        if self.received_settings is None:
            return None
        return self.received_settings.get(INCARNATION_SETTING, 0)

    def send_goaway(self, stream_id: int) -> None:
        """Send GOAWAY once: requests from ``stream_id`` on are not run."""
        if self.goaway_sent:
            return
        self.goaway_sent = True
        frame = encode_frame(FrameType.GOAWAY, encode_uint_var(stream_id))
        self._quic.send_stream_data(self._local_control_stream_id, frame)

    def _get_local_settings(self) -> dict[int, int]:
        settings = super()._get_local_settings()
        if self.incarnation:
            settings[INCARNATION_SETTING] = self.incarnation
        return settings

    def _check_control_frame_type(self, frame_type: int) -> None:
        super()._check_control_frame_type(frame_type)
        if frame_type == FrameType.GOAWAY:
            self.goaway_received = True
