import asyncio
from contextlib import AsyncExitStack

import pytest

from plantainyoke.network import HttpClient, HttpError, HttpServer, Response
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
    def test_requests_reuse_the_connection(self, run_async, network_prefix):
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

    def test_endless_request_closes_the_connection(self, run_async, network_prefix):
        async def scenario(address):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"GET / HTTP/1.1\r\nX: " + b"x" * 100_000)
            async with asyncio.timeout(2.0):
                assert b" 200 " not in await reader.read()

        _run_scenario(run_async, network_prefix, scenario)


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
