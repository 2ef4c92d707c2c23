import subprocess
import sys

import pytest

from plantainyoke.standins import NoFreeNetworkError, reserve_network
from plantainyoke.standins import _loopback as loopback

RESERVE_AND_WAIT = """
from plantainyoke.standins import reserve_network
with reserve_network() as prefix:
    print(prefix, flush=True)
    input()
"""


def _find_free_number():
    """Return the number of a network that no other rig on this computer uses."""
    with reserve_network() as prefix:
        return int(prefix.partition(".")[2]) - loopback.FIRST_NETWORK


class TestReservation:
    def test_reservations_in_one_process_differ(self):
        with reserve_network() as first, reserve_network() as second:
            assert first != second

    def test_network_of_another_process_is_skipped(self, monkeypatch):
        other = subprocess.Popen(
            [sys.executable, "-c", RESERVE_AND_WAIT],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        taken = other.stdout.readline().strip()
        number = int(taken.partition(".")[2]) - loopback.FIRST_NETWORK
        monkeypatch.setattr(loopback, "_numbers", iter((number, number + 1)))
        with reserve_network() as prefix:
            assert prefix != taken
        other.communicate("\n")

    def test_network_is_free_again_after_the_context(self, monkeypatch):
        number = _find_free_number()
        monkeypatch.setattr(loopback, "_numbers", iter((number, number)))
        with reserve_network() as first:
            pass
        with reserve_network() as second:
            assert first == second

    def test_no_free_network_is_an_error(self, monkeypatch):
        number = _find_free_number()
        monkeypatch.setattr(loopback, "_numbers", iter((number, number)))
        with reserve_network():
            with pytest.raises(NoFreeNetworkError):
                with reserve_network():
                    pass
