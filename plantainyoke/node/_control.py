"""Loopback HTTP server for ``plantainyokectl status`` and ``explain``."""

from collections.abc import Callable
from contextlib import AsyncExitStack

from aiohttp import web

from plantainyoke.network import (
    parse_address,
)

Query = Callable[[dict], dict]


class ControlServer:
    """Serves read-only queries as JSON.

    Parameters
    ----------
    address : str
        Address to listen on, as ``host:port``.
    queries : dict of str to callable
        Handlers by URL path. Each is called with the URL's query parameters and returns
        a dict.
    """

    def __init__(self, address: str, queries: dict[str, Query]) -> None:
        self.address = parse_address(address)
        self.queries = queries

    async def start(self, stack: AsyncExitStack) -> None:
        """Listen until the stack closes."""
        application = web.Application()
        application.router.add_get("/{query}", self._answer)
        runner = web.AppRunner(application, access_log=None, shutdown_timeout=1.0)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, *self.address).start()

    async def _answer(self, request: web.Request) -> web.Response:
        query = self.queries.get(request.match_info["query"])
        if query is None:
            return web.json_response({"error": "unknown query"}, status=404)
        return web.json_response(query(dict(request.query)))
