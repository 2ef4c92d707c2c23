import asyncio
import time
from contextlib import AsyncExitStack, suppress

import pytest

from plantainyoke.network import (
    BodyTooLargeError,
    HttpClient,
    HttpError,
    HttpServer,
    Response,
)
from plantainyoke.telemetry import Metrics

PORT = 18_900


def _run_scenario(run_async, network_prefix, scenario):
    async def main():
        async with AsyncExitStack() as stack:
            address = f"{network_prefix}.0.1", PORT
            handlers = {
                "/ready": lambda _: Response(503),
                "/echo": lambda query: Response(200, query.get("x", "").encode()),
            }
            await HttpServer(handlers, Metrics()).listen(address, stack)
            await scenario(address)

    run_async(main())


class TestServerAndClient:
    def test_each_request_gets_its_response(self, run_async, network_prefix):
        async def scenario(address):
            client = HttpClient(address)
            for value in ("a", "b%20c"):
                response = await client.get(f"/echo?x={value}", timeout_s=1.0)
                assert response.status == 200
            assert response.body == b"b c"
            assert (await client.get("/ready", timeout_s=1.0)).status == 503
            assert (await client.get("/nowhere", timeout_s=1.0)).status == 404
            client.close()

        _run_scenario(run_async, network_prefix, scenario)

    def test_malformed_request_closes_the_connection(self, run_async, network_prefix):
        async def scenario(address):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"nonsense\r\n\r\n")
            assert await reader.read() == b""

        _run_scenario(run_async, network_prefix, scenario)

    def test_other_tasks_run_between_the_requests_of_one_read(
        self, run_async, network_prefix
    ):
        """A batch of queries would otherwise hold up the packets of a process."""

        async def scenario(address):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n" * 200)
            turns = 0
            received = b""
            while received.count(b" 503 ") < 200:
                received += await reader.read(65_536)
                turns += 1
            assert turns > 10

        _run_scenario(run_async, network_prefix, scenario)

    def test_endless_request_closes_the_connection(self, run_async, network_prefix):
        async def scenario(address):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"GET / HTTP/1.1\r\nX: " + b"x" * 100_000)
            async with asyncio.timeout(2.0):
                assert b" 200 " not in await reader.read()

        _run_scenario(run_async, network_prefix, scenario)


class TestRepeatedResponses:
    """A server or a device on the way may send a response a second time."""

    @pytest.mark.parametrize("is_delayed", [False, True])
    def test_second_copy_is_not_taken_for_a_response(
        self, run_async, network_prefix, is_delayed
    ):
        async def scenario():
            async def serve(reader, writer):
                path = (await reader.readline()).split()[1]
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(path)
                writer.write((head + path) * (1 if is_delayed else 2))
                await asyncio.sleep(0.05)
                writer.write(head + path)

            address = f"{network_prefix}.0.5", PORT
            server = await asyncio.start_server(serve, *address)
            client = HttpClient(address)
            for path in ("/first", "/second", "/third"):
                # An error is allowed if both copies arrive at once, a wrong body is
                # not.
                with suppress(*(() if is_delayed else (HttpError,))):
                    response = await client.get(path, timeout_s=1.0)
                    assert response.body == path.encode()
                await asyncio.sleep(0.1)
            server.close()

        run_async(scenario())

    def test_connection_that_went_silent_does_not_delay_the_next_request(
        self, run_async, network_prefix
    ):
        async def scenario():
            async def serve(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                await asyncio.sleep(5)

            address = f"{network_prefix}.0.6", PORT
            server = await asyncio.start_server(serve, *address)
            client = HttpClient(address)
            for _ in range(3):
                assert (await client.get("/", timeout_s=0.5)).body == b"ok"
            server.close()

        run_async(scenario())


class TestSlowResponses:
    """The timeout bounds the silence of a server, not the time of a response."""

    TIMEOUT_S = 0.2

    def _receive(self, run_async, network_prefix, parts, *, stated=None):
        """Return what a client gets from a server that sends parts with pauses.

        Returns
        -------
        body : bytes or HttpError
        elapsed_s : float
        """

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            size = sum(len(part) for _, part in parts) if stated is None else stated
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            with suppress(OSError):
                for pause_s, part in parts:
                    await asyncio.sleep(pause_s)
                    writer.write(part)
                await asyncio.sleep(5)

        async def scenario():
            address = f"{network_prefix}.0.7", PORT
            server = await asyncio.start_server(serve, *address)
            started = time.monotonic()
            try:
                response = await HttpClient(address).get("/", timeout_s=self.TIMEOUT_S)
                return response.body, time.monotonic() - started
            except HttpError as error:
                return error, time.monotonic() - started
            finally:
                server.close()

        return run_async(scenario())

    def test_large_response_over_a_slow_link_is_received(
        self, run_async, network_prefix
    ):
        # The call ended in the middle of the response, and so did each repetition
        # (review/1).
        parts = [(0.05, b"x" * 20_000)] * 12
        body, elapsed_s = self._receive(run_async, network_prefix, parts)
        assert body == b"x" * 240_000
        assert elapsed_s > 2 * self.TIMEOUT_S

    def test_server_that_stalls_is_given_up_after_the_timeout(
        self, run_async, network_prefix
    ):
        parts = [(0.0, b"x" * 50_000)]
        error, elapsed_s = self._receive(
            run_async, network_prefix, parts, stated=100_000
        )
        assert isinstance(error, HttpError)
        assert elapsed_s < 2 * self.TIMEOUT_S

    def test_server_that_trickles_is_given_up_soon(self, run_async, network_prefix):
        parts = [(0.05, b"x")] * 90
        error, elapsed_s = self._receive(
            run_async, network_prefix, parts, stated=100_000
        )
        assert isinstance(error, HttpError)
        assert "bytes" in str(error)
        assert elapsed_s < 2 * self.TIMEOUT_S

    def test_body_beyond_the_limit_is_refused_before_it_arrives(
        self, run_async, network_prefix
    ):
        error, elapsed_s = self._receive(run_async, network_prefix, [], stated=10**8)
        assert isinstance(error, BodyTooLargeError)
        assert elapsed_s < self.TIMEOUT_S

    def test_head_without_an_end_is_refused(self, run_async, network_prefix):
        # It would fill the memory until the timeout.
        async def serve(reader, writer):
            writer.write(b"HTTP/1.1 200 OK\r\n")
            with suppress(OSError):
                while True:
                    writer.write(b"X-Filler: " + b"x" * 10_000 + b"\r\n")
                    await writer.drain()

        async def scenario():
            address = f"{network_prefix}.0.8", PORT
            server = await asyncio.start_server(serve, *address)
            with pytest.raises(HttpError, match="head"):
                await HttpClient(address).get("/", timeout_s=2.0)
            server.close()

        run_async(scenario())


class TestClientFailures:
    @pytest.mark.parametrize(
        "answer",
        [b"", b"nonsense", b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort"],
    )
    def test_incomplete_response_raises(self, run_async, network_prefix, answer):
        async def scenario():
            async def serve(reader, writer):
                await reader.readline()
                writer.write(answer)
                writer.close()

            server = await asyncio.start_server(serve, f"{network_prefix}.0.2", PORT)
            client = HttpClient((f"{network_prefix}.0.2", PORT))
            with pytest.raises(HttpError):
                await client.get("/", timeout_s=1.0)
            assert client.writer is None
            server.close()

        run_async(scenario())

    def test_server_without_an_answer_raises_after_timeout(
        self, run_async, network_prefix
    ):
        async def scenario():
            async def serve(reader, writer):
                await asyncio.sleep(5)

            server = await asyncio.start_server(serve, f"{network_prefix}.0.3", PORT)
            with pytest.raises(HttpError, match="TimeoutError"):
                await HttpClient((f"{network_prefix}.0.3", PORT)).get(
                    "/", timeout_s=0.2
                )
            server.close()

        run_async(scenario())

    def test_refused_connection_raises(self, run_async, network_prefix):
        async def scenario():
            with pytest.raises(HttpError):
                await HttpClient((f"{network_prefix}.0.4", PORT)).get(
                    "/", timeout_s=0.5
                )

        run_async(scenario())
