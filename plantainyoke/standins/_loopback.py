"""Reservation of loopback networks for tests, demos and the soak.

Every rig uses fixed ports on the addresses of one network ``127.N.0.0/16``. A bound
socket reserves the network for as long as it is open, so that rigs of other processes
on the same computer use other networks.
"""

import itertools
import os
import socket
from collections.abc import Iterator
from contextlib import contextmanager

FIRST_NETWORK = 16
NETWORK_COUNT = 224
RESERVATION_PORT = 8999  # on an address that no rig uses

# Processes start at different networks, so that they rarely reuse each other's.
_numbers = itertools.count(os.getpid() * 7)


class NoFreeNetworkError(Exception):
    """Every loopback network is reserved."""


@contextmanager
def reserve_network() -> Iterator[str]:
    """Reserve a loopback network until the context ends.

    Networks are reserved in turn, because sockets of an earlier rig may keep an address
    in use for some time after they were closed.

    Yields
    ------
    str
        First two octets of the network's addresses, such as ``127.40``.

    Raises
    ------
    NoFreeNetworkError
        If no network is free.
    """
    for number in itertools.islice(_numbers, NETWORK_COUNT):
        prefix = f"127.{FIRST_NETWORK + number % NETWORK_COUNT}"
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with reservation:
            try:
                reservation.bind((f"{prefix}.255.254", RESERVATION_PORT))
            except OSError:
                continue
            yield prefix
            return
    raise NoFreeNetworkError(f"all {NETWORK_COUNT} loopback networks are in use")
