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
LONG_S = 0.3
LAG_S = 0.05
COLD_SLOTS = 1


class UpstreamThread:
    """An upstream with an event loop of its own, which can lag."""

    def __init__(self, address) -> None:
        self.address = address
        self.fake_upstream = FakeUpstream("orders-0", UpstreamOptions(slots=4))
        self.loop = uvloop.new_event_loop()
        self.stack = AsyncExitStack()
        self.thread = threading.Thread(target=self.loop.run_forever)

    def open(self) -> None:
        self.thread.start()
        self.call(self.fake_upstream.start(self.address, self.stack))

    def call(self, coroutine) -> None:
        asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()

    def lag(self, seconds: float) -> None:
        """Keep the upstream from reading its sockets for a while."""
        self.loop.call_soon_threadsafe(time.sleep, seconds)

    def close(self) -> None:
        self.call(self.stack.aclose())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()


class Pair:
    """A cold upstream on loopback and the agent's client of it."""

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

    async def send_long(self, timeout_s: float = 5.0) -> asyncio.Task:
        """Start a request and return once the upstream works on it."""
        self.fake_upstream.next_delay_s = LONG_S
        task = asyncio.ensure_future(self.send(timeout_s))
        while not self.fake_upstream.in_flight:
            await asyncio.sleep(0.001)
        await self.open_second_connection()
        return task

    async def open_second_connection(self) -> None:
        """Let a health check leave an idle connection for the next request."""
        polling = asyncio.ensure_future(self.upstream.poll_health())
        while not self.idle_connections():
            await asyncio.sleep(0.001)
        polling.cancel()

    def idle_connections(self) -> int:
        pools = self.upstream.session.connector._conns.values()
        return sum(len(pool) for pool in pools)


@pytest.fixture
def run_scenario(network_prefix, run_async):
    """Return a function that plays a scenario with a pair."""

    async def create(stack):
        pair = Pair(network_prefix)
        await pair.open(stack)
        return pair

    return make_scenario_runner(run_async, create)


class TestAbandonedRequest:
    """The upstream notices a closed connection before the next request."""

    def test_cancelled_request_is_no_overrun_of_a_cold_upstream(self, run_scenario):
        async def scenario(pair):
            first = await pair.send_long()
            second = asyncio.ensure_future(pair.send())
            await asyncio.sleep(0.01)
            pair.thread.lag(LAG_S)
            first.cancel()
            assert await second == 200
            assert pair.fake_upstream.overruns == 0

        run_scenario(scenario)

    def test_expired_request_is_no_overrun_of_a_cold_upstream(self, run_scenario):
        async def scenario(pair):
            first = await pair.send_long(timeout_s=0.06)
            second = asyncio.ensure_future(pair.send())
            await asyncio.sleep(0.03)
            pair.thread.lag(LAG_S)
            with pytest.raises(OutcomeUnknownError):
                await first
            assert await second == 200
            assert pair.fake_upstream.overruns == 0

        run_scenario(scenario)

    def test_answered_request_frees_its_slot_at_once(self, run_scenario):
        async def scenario(pair):
            await pair.send()
            assert pair.upstream.admission.in_flight == 0

        run_scenario(scenario)
