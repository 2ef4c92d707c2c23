"""Tasks whose failures are logged."""

import asyncio
from collections.abc import Coroutine

from plantainyoke.telemetry._logging import log_event
from plantainyoke.telemetry._metrics import Metrics


class TaskSet:
    """Runs tasks until it is closed.

    Parameters
    ----------
    metrics : Metrics

    Attributes
    ----------
    tasks : set of asyncio.Task
    """

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.tasks: set[asyncio.Task] = set()

    def start_task(self, coroutine: Coroutine, *, name: str) -> asyncio.Task:
        """Run a task; its failure is logged."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self.tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    async def aclose(self) -> None:
        """Cancel all tasks and wait for their end."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _finish(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self.metrics.count("task.failed")
        log_event("task_failed", task=task.get_name(), error=repr(task.exception()))
