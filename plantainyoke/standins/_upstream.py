"""An upstream: order desk, drawing office and event stream in one."""

import asyncio
import json
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass

from aiohttp import web

from plantainyoke.network import (
    Address,
)

SHED_STATUS = 529
COLD_FAILURE_STATUS = 500
COLD_SLOWDOWN = 4.0


@dataclass
class UpstreamOptions:
    """How an upstream behaves.

    Attributes
    ----------
    slots : int
        Requests that it runs at a time.
    cold_slots : int
        Requests that it bears in cold start.
    warm_after : int
        Served requests after which it is warm.
    service_time_s : float
    event_interval_s : float
        Time between events of a watch.
    has_false_health : bool
        Whether its health endpoint always claims that all is well.
    """

    slots: int = 4
    cold_slots: int = 1
    warm_after: int = 5
    service_time_s: float = 0.005
    event_interval_s: float = 0.1
    has_false_health: bool = False


class FakeUpstream:
    """Records every run and every overload.

    Attributes
    ----------
    runs : Counter
        Runs of non-idempotent requests by idempotency key.
    overruns : int
        Requests that arrived above what it bears.
    most_in_flight : int
    """

    def __init__(self, name: str, options: UpstreamOptions | None = None) -> None:
        self.name = name
        self.options = options or UpstreamOptions()
        self.runs: Counter[str] = Counter()
        self.served = 0
        self.warmth = 0
        self.overruns = 0
        self.shed = 0
        self.in_flight = 0
        self.most_in_flight = 0
        self.is_draining = False
        self.work_after_drain = 0
        self.drained_at = 0.0
        self.truncate_next_count = 0
        self.next_delay_s = 0.0
        self.refuse_share = 0.0
        self.cancelled = 0
        self.deadlines: list[int] = []
        self.events = 0
        self.site: web.TCPSite | None = None

    @property
    def capacity(self) -> int:
        """Requests that it bears now."""
        if self.warmth < self.options.warm_after:
            return self.options.cold_slots
        return self.options.slots

    def turn_cold(self) -> None:
        """Become cold without a warning."""
        self.warmth = 0

    def start_draining(self) -> None:
        """Begin to leave."""
        self.is_draining = True
        self.drained_at = asyncio.get_running_loop().time()

    async def start(self, address: Address, stack: AsyncExitStack) -> None:
        """Listen until the stack closes."""
        application = web.Application(client_max_size=4_000_000)
        application.router.add_get("/health", self._health)
        application.router.add_get("/events", self._events)
        application.router.add_get("/stand-in/state", self._state)
        application.router.add_post("/stand-in/{action}", self._act)
        application.router.add_route("*", "/{path:.*}", self._work)
        runner = web.AppRunner(
            application,
            access_log=None,
            shutdown_timeout=0.1,
            handler_cancellation=True,
        )
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        self.site = web.TCPSite(runner, *address)
        await self.site.start()

    def state(self) -> dict:
        """Return the record of what it ran."""
        return {
            "name": self.name,
            "served": self.served,
            "runs": dict(self.runs),
            "overruns": self.overruns,
            "shed": self.shed,
            "most_in_flight": self.most_in_flight,
            "cancelled": self.cancelled,
            "work_after_drain": self.work_after_drain,
        }

    async def _health(self, request: web.Request) -> web.Response:
        draining = self.is_draining and not self.options.has_false_health
        return web.json_response({"draining": draining, "load": 0})

    async def _state(self, request: web.Request) -> web.Response:
        return web.json_response(self.state())

    async def _act(self, request: web.Request) -> web.Response:
        action = request.match_info["action"]
        if action == "cold":
            self.turn_cold()
        elif action == "drain":
            self.start_draining()
        elif action == "return":
            self.is_draining = False
        elif action == "refuse":
            self.refuse_share = float(request.query["share"])
        return web.json_response({"done": action})

    async def _work(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        if self._must_shed():
            self.shed += 1
            return web.Response(status=SHED_STATUS, headers={"retry-after": "0"})
        self._note_drain()
        key = request.headers.get("idempotency-key", "")
        if key:
            self.runs[key] += 1
        if "request-timeout-ms" in request.headers:
            self.deadlines.append(int(request.headers["request-timeout-ms"]))
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        is_over = self.in_flight > self.capacity
        try:
            if is_over:
                self.overruns += 1
                self.warmth = 0
                return web.Response(status=COLD_FAILURE_STATUS)
            delay_s, self.next_delay_s = self.next_delay_s, 0.0
            await asyncio.sleep(delay_s or self._service_time())
            self.served += 1
            self.warmth += 1
            return await self._answer(request, body)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.in_flight -= 1

    async def _answer(self, request: web.Request, body: bytes) -> web.StreamResponse:
        if request.path.startswith("/drawings/"):
            return await self._drawing(request)
        answer = {
            "served_by": self.name,
            "path": request.path,
            "echo": body.decode("latin-1"),
        }
        return web.json_response(answer)

    async def _drawing(self, request: web.Request) -> web.StreamResponse:
        """Answer ``/drawings/{size}/{letter}`` with that many letters."""
        _, _, size, letter = request.path.split("/")
        content = letter.encode() * int(size)
        if not self.truncate_next_count:
            return web.Response(body=content)
        self.truncate_next_count -= 1
        response = web.StreamResponse(headers={"content-length": size})
        await response.prepare(request)
        await response.write(content[: len(content) // 2])
        request.transport.abort()
        return response

    async def _events(self, request: web.Request) -> web.StreamResponse:
        """Stream numbered events that every upstream can resume."""
        last = int(request.headers.get("last-event-id") or -1)
        response = web.StreamResponse(headers={"content-type": "text/event-stream"})
        await response.prepare(request)
        interval_s = self.options.event_interval_s
        while True:
            newest = int(asyncio.get_running_loop().time() / interval_s)
            if last < 0:
                last = newest - 1
            while last < newest:
                last += 1
                data = json.dumps({"event": last})
                await response.write(f"id: {last}\ndata: {data}\n\n".encode())
            await asyncio.sleep(interval_s)

    def _service_time(self) -> float:
        is_cold = self.warmth < self.options.warm_after
        return self.options.service_time_s * (COLD_SLOWDOWN if is_cold else 1.0)

    def _must_shed(self) -> bool:
        if self.refuse_share >= 1.0:
            return True
        return self.in_flight >= self.options.slots

    def _note_drain(self) -> None:
        if self.is_draining:
            waited_s = asyncio.get_running_loop().time() - self.drained_at
            self.work_after_drain += waited_s > 3.0
