"""Fake of the operators' platform: published configuration and host list.

It serves both over HTTP. Tests can make its calls fail or its answers stale.
"""

import asyncio
import json
import random
from collections import Counter
from contextlib import AsyncExitStack

from aiohttp import web

from plantainyoke.configuration import ConfigurationDocuments, compute_digest
from plantainyoke.network import (
    Address,
)


class FakePlatform:
    """Serves published documents over HTTP.

    Attributes
    ----------
    is_down : bool
        Whether calls for documents fail with status 503.
    stale_configuration : ConfigurationDocuments, optional
        Old configuration that a stale replica serves; None if no replica is stale.
    stale_share : float
        Share of the reads of the index that reach the stale replica.
    published : ConfigurationDocuments
        Newest published configuration.
    chunks : dict of str to bytes
        Chunks of all published configurations, by digest.
    hosts : list of dict
        Entries of the host list.
    calls : Counter
        Calls by kind; a watch counts as one call however long it waits.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.stale_configuration: ConfigurationDocuments | None = None
        self.stale_share = 1.0
        self.rng = random.Random(0)
        self.published = ConfigurationDocuments(b"", {})
        self.chunks: dict[str, bytes] = {}
        self.hosts: list[dict] = []
        self.calls: Counter[str] = Counter()
        self.changed = asyncio.Event()

    def publish(self, built: ConfigurationDocuments) -> None:
        """Publish a configuration and notify waiting watches."""
        self.published = built
        self.chunks.update(built.chunk_documents)
        self._notify()

    def set_down(self, is_down: bool) -> None:
        """Start or stop failing calls; a waiting watch fails at once."""
        self.is_down = is_down
        self._notify()

    async def start(self, address: Address, stack: AsyncExitStack) -> None:
        """Serve until the stack closes."""
        application = web.Application()
        application.router.add_get("/configuration/index", self._index)
        application.router.add_get("/configuration/chunks/{digest}", self._chunk)
        application.router.add_get("/hosts", self._hosts)
        application.router.add_get("/stand-in/calls", self._report_calls)
        runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, *address).start()

    @property
    def serving(self) -> ConfigurationDocuments:
        """Configuration that the next read returns, current or stale."""
        if (
            self.stale_configuration is not None
            and self.rng.random() < self.stale_share
        ):
            return self.stale_configuration
        return self.published

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def _index(self, request: web.Request) -> web.Response:
        self.calls["watch" if "wait" in request.query else "index"] += 1
        if "wait" in request.query:
            await self._wait_for_change(request.query)
        serving = self.serving
        if self.is_down or not serving.index_document:
            return web.Response(status=503)
        return web.Response(body=serving.index_document)

    async def _wait_for_change(self, query) -> None:
        try:
            async with asyncio.timeout(float(query["wait"])):
                while not self.is_down and query["not"] == compute_digest(
                    self.serving.index_document
                ):
                    await self.changed.wait()
        except TimeoutError:
            return

    async def _chunk(self, request: web.Request) -> web.Response:
        self.calls["chunk"] += 1
        if self.is_down:
            return web.Response(status=503)
        chunks = (
            self.stale_configuration.chunk_documents
            if self.stale_configuration
            else self.chunks
        )
        body = chunks.get(request.match_info["digest"])
        return web.Response(status=404) if body is None else web.Response(body=body)

    async def _hosts(self, request: web.Request) -> web.Response:
        self.calls["hosts"] += 1
        if self.is_down:
            return web.Response(status=503)
        return web.Response(body=json.dumps(self.hosts).encode())

    async def _report_calls(self, request: web.Request) -> web.Response:
        return web.json_response(dict(self.calls))
