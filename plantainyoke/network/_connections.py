"""TCP server that runs a task for each connection and cancels the tasks on close."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

from plantainyoke.network._address import Address
from plantainyoke.telemetry import Metrics, TaskSet

ConnectionHandler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


async def serve_connections(
    handle_connection: ConnectionHandler,
    address: Address,
    stack: AsyncExitStack,
    *,
    metrics: Metrics,
) -> None:
    """Accept connections until the stack closes.

    Closing the stack cancels the tasks. They run in a `TaskSet`, because the tasks that
    `asyncio.start_server` creates from a coroutine function log an error when they are
    cancelled.

    Parameters
    ----------
    handle_connection : callable
        Coroutine function that serves one connection.
    address : Address
        Local address to listen on.
    stack : AsyncExitStack
    metrics : Metrics
        Counts connections whose task failed.
    """
    tasks = TaskSet(metrics)
    stack.push_async_callback(tasks.aclose)

    def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        tasks.start_task(handle_connection(reader, writer), name="connection")

    server = await asyncio.start_server(accept, *address)
    stack.callback(server.close)
