"""Tests of the proxy's forwarding and of the faults that it injects."""

import asyncio
import random
from contextlib import AsyncExitStack

import pytest

from plantainyoke.conftest import make_scenario_runner
from plantainyoke.network import DatagramSocket
from plantainyoke.telemetry import Metrics
from soak._network import ProxiedNetwork

PORT_A, PORT_B = 9_300, 9_400


class Pair:
    """Sender a and echo server b, with the proxy between them."""

    def __init__(self, network_prefix: str) -> None:
        self.ip_a, self.ip_b = f"{network_prefix}.0.1", f"{network_prefix}.0.2"
        self.received = []

    async def open(self, stack: AsyncExitStack) -> None:
        self.proxy = ProxiedNetwork(random.Random(1), stack)
        self.proxy.add_sender("a", self.ip_a)
        listen_address, destination_address = (self.ip_b, PORT_A), (self.ip_b, PORT_B)
        self.proxy.forward_datagrams("a", "b", listen_address, destination_address)
        await self.proxy.forward_connections(
            "a", "b", listen_address, destination_address, self.ip_a
        )
        self.listen_address = listen_address
        receiver = DatagramSocket(
            destination_address, lambda *args: self.received.append(args), Metrics()
        )
        stack.callback(receiver.close)
        self.sender = DatagramSocket((self.ip_a, 0), lambda *_: None, Metrics())
        stack.callback(self.sender.close)
        server = await asyncio.start_server(self._echo, *destination_address)
        stack.callback(server.close)

    async def _echo(self, reader, writer) -> None:
        try:
            while data := await reader.read(100):
                writer.write(data)
        except OSError:
            pass
        writer.close()

    async def connect(self):
        return await asyncio.open_connection(*self.listen_address)

    async def request_echo(self, connection) -> bytes | None:
        reader, writer = connection
        writer.write(b"x")
        try:
            async with asyncio.timeout(0.2):
                return await reader.read(1)
        except TimeoutError:
            return None


@pytest.fixture
def run_scenario(network_prefix, run_async):
    """Return a function that runs a scenario with a pair."""

    async def create(stack):
        pair = Pair(network_prefix)
        await pair.open(stack)
        return pair

    return make_scenario_runner(run_async, create)


class TestDatagrams:
    def test_forwarded_with_source_ip_of_sender(self, run_scenario):
        async def scenario(pair):
            pair.sender.send(b"x", pair.listen_address)
            await asyncio.sleep(0.1)
            ((datagram, source),) = pair.received
            assert (datagram, source[0]) == (b"x", pair.ip_a)

        run_scenario(scenario)

    def test_cut_drops_and_delay_defers(self, run_scenario):
        async def scenario(pair):
            direction = pair.proxy.get_direction("a", "b")
            direction.is_cut = True
            pair.sender.send(b"lost", pair.listen_address)
            await asyncio.sleep(0.05)
            direction.is_cut = False
            direction.delay_s = 0.2
            pair.sender.send(b"late", pair.listen_address)
            await asyncio.sleep(0.05)
            assert pair.received == []
            await asyncio.sleep(0.4)
            assert [datagram for datagram, _ in pair.received] == [b"late"]

        run_scenario(scenario)


class TestConnections:
    def test_one_way_cut_holds_bytes_until_healed(self, run_scenario):
        async def scenario(pair):
            connection = await pair.connect()
            assert await pair.request_echo(connection) == b"x"
            pair.proxy.get_direction("b", "a").is_cut = True
            assert await pair.request_echo(connection) is None
            pair.proxy.heal()
            assert await pair.request_echo(connection) == b"x"

        run_scenario(scenario)

    def test_silenced_connection_stays_silent_while_new_one_works(self, run_scenario):
        async def scenario(pair):
            connection = await pair.connect()
            assert await pair.request_echo(connection) == b"x"
            pair.proxy.silence_connections(1.0)
            assert await pair.request_echo(connection) is None
            assert await pair.request_echo(await pair.connect()) == b"x"

        run_scenario(scenario)

    def test_reset_reaches_the_peer(self, run_scenario):
        async def scenario(pair):
            connection = await pair.connect()
            assert await pair.request_echo(connection) == b"x"
            pair.proxy.reset_connections(1.0)
            with pytest.raises(ConnectionResetError):
                await connection[0].read(1)

        run_scenario(scenario)
