"""Background tasks whose failures are logged and counted.

A failure of a task that is not awaited would otherwise go unnoticed.
"""

import asyncio
from collections.abc import Coroutine

from plantainyoke.telemetry._logging import log_event
from plantainyoke.telemetry._metrics import Metrics


class TaskSet:
    """Runs background tasks and cancels them when it is closed.

    Parameters
    ----------
    metrics : Metrics
        Counts tasks that failed.

    Attributes
    ----------
    tasks : set of asyncio.Task
        Tasks that have not finished.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.tasks: set[asyncio.Task] = set()

    def start_task(self, coroutine: Coroutine, *, name: str) -> asyncio.Task:
        """Start a task whose failure is logged and counted."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self.tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    async def aclose(self) -> None:
        """Cancel all tasks and wait until they have finished."""
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
