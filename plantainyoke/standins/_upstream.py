"""Fake upstream that records what it ran and fails when overloaded.

It echoes requests, serves downloads below ``/drawings`` and an event stream, and
simulates cold start, draining, load shedding and truncated answers.
"""

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
    """Capacity and timing of a fake upstream.

    Attributes
    ----------
    slots : int
        Requests that it runs at a time; further ones are shed.
    cold_slots : int
        Requests that it can run at a time in cold start.
    warm_after : int
        Number of requests served since cold start after which it is warm.
    service_time_s : float
        Time to serve a request when warm.
    event_interval_s : float
        Time between events of a watch.
    has_false_health : bool
        Whether its health endpoint never reports draining.
    """

    slots: int = 4
    cold_slots: int = 1
    warm_after: int = 5
    service_time_s: float = 0.005
    event_interval_s: float = 0.1
    has_false_health: bool = False


class FakeUpstream:
    """Upstream that records every run of a request and every overload.

    Attributes
    ----------
    runs : Counter
        Runs of non-idempotent requests by idempotency key.
    served : int
        Requests that were run to the end.
    served_since_cold : int
        Those of them since the last cold start.
    overruns : int
        Requests accepted above `capacity`; each fails and makes the upstream cold.
    shed : int
        Requests refused with ``SHED_STATUS``.
    most_in_flight : int
        Highest number of requests in flight so far.
    draining_since : float
        Time of the event loop at which draining began.
    work_after_drain : int
        Requests that arrived more than 3 s after draining began.
    truncate_next_count : int
        Number of further downloads that are aborted after half of their body.
    next_delay_s : float
        Service time of the next request, 0 for the usual one.
    refuse_share : float
        From 1 on, every request is shed; lower values have no effect.
    cancelled : int
        Requests cancelled before the answer, as when their sender disconnects.
    deadlines : list of int
        Timeouts that requests carried, in milliseconds.
    """

    def __init__(self, name: str, options: UpstreamOptions | None = None) -> None:
        self.name = name
        self.options = options or UpstreamOptions()
        self.runs: Counter[str] = Counter()
        self.served = 0
        self.served_since_cold = 0
        self.overruns = 0
        self.shed = 0
        self.in_flight = 0
        self.most_in_flight = 0
        self.is_draining = False
        self.work_after_drain = 0
        self.draining_since = 0.0
        self.truncate_next_count = 0
        self.next_delay_s = 0.0
        self.refuse_share = 0.0
        self.cancelled = 0
        self.deadlines: list[int] = []
        self.events = 0
        self.site: web.TCPSite | None = None

    @property
    def capacity(self) -> int:
        """Number of requests that it can run at a time now."""
        if self.served_since_cold < self.options.warm_after:
            return self.options.cold_slots
        return self.options.slots

    def reset_to_cold(self) -> None:
        """Return to cold start without notice."""
        self.served_since_cold = 0

    def start_draining(self) -> None:
        """Report draining from now on, as before a shutdown."""
        self.is_draining = True
        self.draining_since = asyncio.get_running_loop().time()

    async def start(self, address: Address, stack: AsyncExitStack) -> None:
        """Serve until the stack closes."""
        application = web.Application(client_max_size=4_000_000)
        application.router.add_get("/health", self._health)
        application.router.add_get("/events", self._events)
        application.router.add_get("/stand-in/state", self._state)
        application.router.add_post("/stand-in/{action}", self._apply_action)
        application.router.add_route("*", "/{path:.*}", self._serve_request)
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
        """Return the counts of requests by outcome, and the runs by key."""
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

    async def _apply_action(self, request: web.Request) -> web.Response:
        action = request.match_info["action"]
        if action == "cold":
            self.reset_to_cold()
        elif action == "drain":
            self.start_draining()
        elif action == "return":
            self.is_draining = False
        elif action == "refuse":
            self.refuse_share = float(request.query["share"])
        return web.json_response({"done": action})

    async def _serve_request(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        if self._should_shed():
            self.shed += 1
            return web.Response(status=SHED_STATUS, headers={"retry-after": "0"})
        self._record_work_after_drain()
        key = request.headers.get("idempotency-key", "")
        if key:
            self.runs[key] += 1
        if "request-timeout-ms" in request.headers:
            self.deadlines.append(int(request.headers["request-timeout-ms"]))
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        is_overrun = self.in_flight > self.capacity
        try:
            if is_overrun:
                self.overruns += 1
                self.served_since_cold = 0
                return web.Response(status=COLD_FAILURE_STATUS)
            delay_s, self.next_delay_s = self.next_delay_s, 0.0
            await asyncio.sleep(delay_s or self._get_service_time_s())
            self.served += 1
            self.served_since_cold += 1
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
        """Answer ``/drawings/{size}/{letter}`` with ``size`` times the letter."""
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
        """Stream numbered events.

        Numbers follow from the event loop's time, so that another upstream can resume
        the stream.
        """
        last_sent = int(request.headers.get("last-event-id") or -1)
        response = web.StreamResponse(headers={"content-type": "text/event-stream"})
        await response.prepare(request)
        interval_s = self.options.event_interval_s
        while True:
            newest = int(asyncio.get_running_loop().time() / interval_s)
            if last_sent < 0:
                last_sent = newest - 1
            while last_sent < newest:
                last_sent += 1
                data = json.dumps({"event": last_sent})
                await response.write(f"id: {last_sent}\ndata: {data}\n\n".encode())
            await asyncio.sleep(interval_s)

    def _get_service_time_s(self) -> float:
        is_cold = self.served_since_cold < self.options.warm_after
        return self.options.service_time_s * (COLD_SLOWDOWN if is_cold else 1.0)

    def _should_shed(self) -> bool:
        if self.refuse_share >= 1.0:
            return True
        return self.in_flight >= self.options.slots

    def _record_work_after_drain(self) -> None:
        if self.is_draining:
            waited_s = asyncio.get_running_loop().time() - self.draining_since
            self.work_after_drain += waited_s > 3.0
