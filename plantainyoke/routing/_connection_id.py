"""Connection IDs that contain the encrypted address of an agent.

Agents issue them, so that every balancer that has the routing key can route the
packets of a flow without flow state.

References
----------
draft-ietf-quic-load-balancers: the first octet holds the key rotation bits
and the length of the rest, followed by one encrypted block.
"""

import os
import struct
from collections.abc import Sequence
from dataclasses import dataclass

from cryptography.hazmat.primitives.ciphers import Cipher, algorithms, modes

BLOCK_SIZE = 16
CONNECTION_ID_SIZE = 1 + BLOCK_SIZE
ROTATION_SHIFT = 5
MAX_ROTATION = 6  # 7 marks an unroutable connection ID
ROUTING_KEY_SIZE = 16
NONCE_SIZE = 4

# Packed agent address (48 bits), zone, service, nonce.
BLOCK_LAYOUT = struct.Struct("!IHHI4s")
unpack_block = BLOCK_LAYOUT.unpack


@dataclass(frozen=True, slots=True)
class RoutingKey:
    """An AES key with the rotation bits that select it.

    Attributes
    ----------
    rotation : int
        Value of the rotation bits, 0 to ``MAX_ROTATION``.
    secret : bytes
        Key of ``ROUTING_KEY_SIZE`` bytes.
    """

    rotation: int
    secret: bytes


@dataclass(slots=True)
class ConnectionTarget:
    """The agent to which a connection ID routes.

    Attributes
    ----------
    agent : int
        Packed address of the agent.
    zone, service : int
        Identifiers of the agent's availability zone and service.
    """

    agent: int
    zone: int
    service: int


class ConnectionIdCodec:
    """Encodes and decodes routable connection IDs.

    Parameters
    ----------
    keys : sequence of RoutingKey
        The first key encrypts new connection IDs; all keys decrypt, so that flows
        with an older key survive a key rotation.

    Raises
    ------
    RoutingKeyError
        If a key has an unsupported rotation or size.
    """

    def __init__(self, keys: Sequence[RoutingKey]) -> None:
        self.rotation = keys[0].rotation
        self.encryptor = _build_cipher(keys[0]).encryptor()
        self.decryptors = {
            _first_octet(key.rotation): _build_cipher(key).decryptor().update
            for key in keys
        }

    def issue_connection_id(self, target: ConnectionTarget) -> bytes:
        """Return a new connection ID that routes to ``target``."""
        block = BLOCK_LAYOUT.pack(
            target.agent >> 16,
            target.agent & 0xFFFF,
            target.zone,
            target.service,
            os.urandom(NONCE_SIZE),
        )
        first = bytes((_first_octet(self.rotation),))
        return first + self.encryptor.update(block)

    def decode(self, connection_id: bytes) -> ConnectionTarget | None:
        """Return the target of a connection ID, None if no key can decode it.

        A forged ID decodes to a random target, so the calling code must check it.
        """
        if len(connection_id) != CONNECTION_ID_SIZE:
            return None
        # The first octet holds the rotation and the length, so an issued ID always
        # starts with the first octet of a known key.
        decrypt = self.decryptors.get(connection_id[0])
        if decrypt is None:
            return None
        ip, port, zone, service, _ = unpack_block(decrypt(connection_id[1:]))
        return ConnectionTarget(ip << 16 | port, zone, service)


@dataclass
class RoutingKeyError(ValueError):
    """A routing key whose rotation or size is not supported."""

    rotation: int
    size: int

    def __str__(self) -> str:
        return (
            f"routing key of rotation {self.rotation} and {self.size} bytes; keys have "
            f"rotation 0 to {MAX_ROTATION} and {ROUTING_KEY_SIZE} bytes"
        )


def _first_octet(rotation: int) -> int:
    return rotation << ROTATION_SHIFT | BLOCK_SIZE


def _build_cipher(key: RoutingKey) -> Cipher:
    if not 0 <= key.rotation <= MAX_ROTATION or len(key.secret) != ROUTING_KEY_SIZE:
        raise RoutingKeyError(key.rotation, len(key.secret))
    return Cipher(algorithms.AES(key.secret), modes.ECB())
