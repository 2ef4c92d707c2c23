import asyncio
import threading
import time
from contextlib import AsyncExitStack

import pytest
import uvloop

from plantainyoke.agent import OutcomeUnknownError, Request
from plantainyoke.agent._messages import BufferSink
from plantainyoke.agent._upstream import Upstream
from plantainyoke.configuration import ServiceRecord
from plantainyoke.conftest import make_scenario_runner
from plantainyoke.standins import FakeUpstream, UpstreamOptions
from plantainyoke.telemetry import Metrics

PORT = 9100
LONG_ANSWER_S = 0.3
LOOP_BLOCK_S = 0.05
COLD_SLOTS = 1


class UpstreamThread:
    """An upstream in a thread, whose event loop can be blocked."""

    def __init__(self, address) -> None:
        self.address = address
        self.fake_upstream = FakeUpstream("orders-0", UpstreamOptions(slots=4))
        self.loop = uvloop.new_event_loop()
        self.stack = AsyncExitStack()
        self.thread = threading.Thread(target=self.loop.run_forever)

    def open(self) -> None:
        self.thread.start()
        self.run_in_loop(self.fake_upstream.start(self.address, self.stack))

    def run_in_loop(self, coroutine) -> None:
        asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()

    def block_loop(self, seconds: float) -> None:
        """Block the loop, so that the upstream does not read its sockets."""
        self.loop.call_soon_threadsafe(time.sleep, seconds)

    def close(self) -> None:
        self.run_in_loop(self.stack.aclose())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()


class UpstreamHarness:
    """A cold upstream on loopback and the agent's client for it."""

    def __init__(self, network_prefix: str) -> None:
        self.address = (f"{network_prefix}.0.1", PORT)
        self.thread = UpstreamThread(self.address)
        self.fake_upstream = self.thread.fake_upstream

    async def open(self, stack: AsyncExitStack) -> None:
        self.thread.open()
        stack.callback(self.thread.close)
        self.upstream = Upstream("http://{}:{}".format(*self.address), Metrics())
        await self.upstream.open(stack)
        self.upstream.configure(
            ServiceRecord(
                name="orders",
                address=1,
                slots=4,
                cold_slots=COLD_SLOTS,
                warm_up_requests=20,
                request_timeout_ms=5_000,
                targets={},
            )
        )

    async def send(self, timeout_s: float = 5.0) -> int:
        deadline = asyncio.get_running_loop().time() + timeout_s
        sink = BufferSink()
        request = Request("GET", "/orders", [], b"", deadline)
        await self.upstream.run(request, sink)
        return sink.status

    async def start_long_request(self, timeout_s: float = 5.0) -> asyncio.Task:
        """Start a request and return once the upstream is running it."""
        self.fake_upstream.next_delay_s = LONG_ANSWER_S
        task = asyncio.ensure_future(self.send(timeout_s))
        while not self.fake_upstream.in_flight:
            await asyncio.sleep(0.001)
        await self.open_second_connection()
        return task

    async def open_second_connection(self) -> None:
        """Poll the health endpoint until an idle connection is pooled.

        The next request then uses this connection at once.
        """
        polling = asyncio.ensure_future(self.upstream.poll_health())
        while not self.idle_connections():
            await asyncio.sleep(0.001)
        polling.cancel()

    def idle_connections(self) -> int:
        pools = self.upstream.session.connector._conns.values()
        return sum(len(pool) for pool in pools)


@pytest.fixture
def run_scenario(network_prefix, run_async):
    """Return a function that runs a scenario with a harness."""

    async def create(stack):
        harness = UpstreamHarness(network_prefix)
        await harness.open(stack)
        return harness

    return make_scenario_runner(run_async, create)


class TestAbandonedRequest:
    """An abandoned request must not cause an overrun of a cold upstream.

    An overrun would occur if the upstream read the next request before it noticed the
    closed connection. Its blocked loop makes both events due at the same time.
    """

    def test_request_after_a_cancelled_one_does_not_overrun_cold_upstream(
        self, run_scenario
    ):
        async def scenario(harness):
            first = await harness.start_long_request()
            second = asyncio.ensure_future(harness.send())
            await asyncio.sleep(0.01)
            harness.thread.block_loop(LOOP_BLOCK_S)
            first.cancel()
            assert await second == 200
            assert harness.fake_upstream.overruns == 0

        run_scenario(scenario)

    def test_request_after_an_expired_one_does_not_overrun_cold_upstream(
        self, run_scenario
    ):
        async def scenario(harness):
            first = await harness.start_long_request(timeout_s=0.06)
            second = asyncio.ensure_future(harness.send())
            await asyncio.sleep(0.03)
            harness.thread.block_loop(LOOP_BLOCK_S)
            with pytest.raises(OutcomeUnknownError):
                await first
            assert await second == 200
            assert harness.fake_upstream.overruns == 0

        run_scenario(scenario)

    def test_answered_request_frees_its_slot_immediately(self, run_scenario):
        async def scenario(harness):
            await harness.send()
            assert harness.upstream.admission.in_flight == 0

        run_scenario(scenario)
