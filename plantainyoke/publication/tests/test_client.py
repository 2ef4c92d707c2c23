import asyncio
import time

import pytest
from aiohttp import web
from returns.result import Failure

from plantainyoke.publication import (
    DocumentTooLargeError,
    PlatformClient,
    PlatformUnavailableError,
    _client,
)
from plantainyoke.publication._client import MAX_BODY_BYTES


class TestDocumentSize:
    @pytest.mark.parametrize("excess", [0, 1, MAX_BODY_BYTES])
    def test_document_above_the_limit_is_an_error(
        self, run_async, network_prefix, excess
    ):
        async def scenario():
            body = b"x" * (MAX_BODY_BYTES + excess)
            application = web.Application()

            async def serve(_):
                return web.Response(body=body)

            application.router.add_get("/configuration/index", serve)
            runner = web.AppRunner(application)
            await runner.setup()
            await web.TCPSite(runner, f"{network_prefix}.0.1", 8500).start()
            async with PlatformClient(f"http://{network_prefix}.0.1:8500") as client:
                result = await client.read_index()
            await runner.cleanup()
            if excess:
                assert isinstance(result, Failure)
                assert isinstance(result.failure(), DocumentTooLargeError)
            else:
                assert result.unwrap() == body

        run_async(scenario())


class TestSlowLinks:
    """The timeout bounds the silence of the platform, not the time of a transfer."""

    TIMEOUT_S = 0.3

    def _read(self, run_async, network_prefix, monkeypatch, *, part_bytes, size):
        """Return the result of a read in parts every 0.05 s, and its time."""
        monkeypatch.setattr(_client, "READ_TIMEOUT_S", self.TIMEOUT_S)

        async def serve(request):
            response = web.StreamResponse(headers={"Content-Length": "200000"})
            await response.prepare(request)
            for _ in range(0, size, part_bytes):
                await response.write(b"x" * part_bytes)
                await asyncio.sleep(0.05)
            await asyncio.sleep(5)
            return response

        async def scenario():
            application = web.Application()
            application.router.add_get("/configuration/index", serve)
            runner = web.AppRunner(application, shutdown_timeout=0.1)
            await runner.setup()
            await web.TCPSite(runner, f"{network_prefix}.0.1", 8500).start()
            async with PlatformClient(f"http://{network_prefix}.0.1:8500") as client:
                started = time.monotonic()
                result = await client.read_index()
                elapsed_s = time.monotonic() - started
            await runner.cleanup()
            return result, elapsed_s

        return run_async(scenario())

    def test_large_document_is_read(self, run_async, network_prefix, monkeypatch):
        # It was given up in the middle of each transfer.
        result, elapsed_s = self._read(
            run_async, network_prefix, monkeypatch, part_bytes=20_000, size=200_000
        )
        assert len(result.unwrap()) == 200_000
        assert elapsed_s > self.TIMEOUT_S

    @pytest.mark.parametrize(("part_bytes", "size"), [(50_000, 50_000), (1, 1000)])
    def test_platform_that_stalls_or_trickles_is_given_up(
        self, run_async, network_prefix, monkeypatch, part_bytes, size
    ):
        result, elapsed_s = self._read(
            run_async, network_prefix, monkeypatch, part_bytes=part_bytes, size=size
        )
        assert isinstance(result.failure(), PlatformUnavailableError)
        assert elapsed_s < 3 * self.TIMEOUT_S
