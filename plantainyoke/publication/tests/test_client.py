import pytest
from aiohttp import web
from returns.result import Failure

from plantainyoke.publication import DocumentTooLargeError, PlatformClient
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
