"""Keyed message authentication codes for messages between processes."""

import hmac
from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b

MAC_SIZE = 16
MINIMUM_KEY_SIZE = 16


@dataclass
class PeerKeyError(ValueError):
    """There is no peer key, or one is too short.

    Attributes
    ----------
    sizes : list of int
        Sizes of the keys in bytes.
    """

    sizes: list[int]

    def __str__(self) -> str:
        return (
            f"peer keys need at least {MINIMUM_KEY_SIZE} bytes, got sizes {self.sizes}"
        )


class MessageAuthenticator:
    """Adds and checks BLAKE2b authentication codes.

    Parameters
    ----------
    keys : sequence of bytes
        The first key signs; every key verifies, so that keys can be rotated.
    """

    def __init__(self, keys: Sequence[bytes]) -> None:
        if not keys or any(len(key) < MINIMUM_KEY_SIZE for key in keys):
            raise PeerKeyError([len(key) for key in keys])
        self.hashers = [blake2b(key=key, digest_size=MAC_SIZE) for key in keys]
        self.signer = self.hashers[0]

    def sign(self, message: bytes) -> bytes:
        """Return the code of a message under the first key."""
        hasher = self.signer.copy()
        hasher.update(message)
        return hasher.digest()

    def verify(self, code: bytes, message: bytes) -> bool:
        """Return whether a code matches a message under any key."""
        for template in self.hashers:
            hasher = template.copy()
            hasher.update(message)
            if hmac.compare_digest(hasher.digest(), code):
                return True
        return False
