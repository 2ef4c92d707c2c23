"""Accepts TCP connections with a task for each."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

from plantainyoke.network._address import Address
from plantainyoke.telemetry import Metrics, TaskSet

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def serve_connections(
    serve: Serve, address: Address, stack: AsyncExitStack, *, metrics: Metrics
) -> None:
    """Accept connections until the stack closes.

    The tasks end with the stack. Those that `asyncio.start_server` itself makes of a
    coroutine function would log an error when they are cancelled.

    Parameters
    ----------
    serve : callable
        Coroutine function that serves one connection.
    address : Address
    stack : AsyncExitStack
    metrics : Metrics
        Counts connections whose task failed.
    """
    tasks = TaskSet(metrics)
    stack.push_async_callback(tasks.aclose)

    def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        tasks.start_task(serve(reader, writer), name="connection")

    server = await asyncio.start_server(accept, *address)
    stack.callback(server.close)
