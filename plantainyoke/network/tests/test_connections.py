import asyncio
from contextlib import AsyncExitStack

import pytest

from plantainyoke.network import serve_connections
from plantainyoke.telemetry import Metrics

PORT = 9200


@pytest.fixture
def run_scenario(run_async, network_prefix):
    """Return a function that runs a scenario.

    It returns the errors that the event loop reported and the metrics.
    """

    def _run_scenario(serve, scenario):
        reported = []
        metrics = Metrics()

        async def main():
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, context: reported.append(context))
            address = f"{network_prefix}.0.1", PORT
            async with AsyncExitStack() as stack:
                await serve_connections(serve, address, stack, metrics=metrics)
                await scenario(address)
            await asyncio.sleep(0.01)

        run_async(main())
        return reported, metrics

    return _run_scenario


class TestServeConnections:
    def test_closing_the_stack_cancels_connections_without_errors(self, run_scenario):
        """Tasks that `asyncio.start_server` creates would report their cancellation."""

        async def serve(reader, writer):
            writer.write(b"x")
            await asyncio.sleep(3600)

        async def scenario(address):
            reader, _ = await asyncio.open_connection(*address)
            await reader.readexactly(1)

        reported, metrics = run_scenario(serve, scenario)
        assert reported == []
        assert not metrics.counters["task.failed"]

    def test_failed_connection_is_counted_and_the_next_is_served(self, run_scenario):
        answers = []

        async def serve(reader, writer):
            if not answers:
                answers.append(b"")
                writer.close()
                raise ValueError("broken")
            writer.write(b"x")

        async def scenario(address):
            reader, _ = await asyncio.open_connection(*address)
            assert await reader.read() == b""
            reader, _ = await asyncio.open_connection(*address)
            answers.append(await reader.readexactly(1))

        _, metrics = run_scenario(serve, scenario)
        assert answers == [b"", b"x"]
        assert metrics.counters["task.failed"] == 1
