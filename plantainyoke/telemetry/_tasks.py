"""Background tasks whose failures are logged and counted.

A failure of a task that is not awaited would otherwise go unnoticed. A task without
which the process cannot do its work is essential: it is started again when it fails.
"""

import asyncio
import traceback
from collections.abc import Awaitable, Callable, Coroutine

from plantainyoke.telemetry._logging import log_event
from plantainyoke.telemetry._metrics import Metrics

MIN_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 2.0
# A task that runs for this long has recovered, so that its next failure counts as the
# first one.
STABLE_S = 5.0
MAX_LOGGED_FRAMES = 3  # innermost calls of a failure, enough to find the place


class TaskEndedError(Exception):
    """An essential task returned, although it has to run until it is cancelled."""


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
    failing : set of str
        Names of the essential tasks that failed again soon after a restart and have
        not been stable since.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.tasks: set[asyncio.Task] = set()
        self.failing: set[str] = set()

    def start_task(self, coroutine: Coroutine, *, name: str) -> asyncio.Task:
        """Start a task whose failure is logged and counted."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self.tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def start_essential_task(
        self, run: Callable[[], Awaitable[None]], *, name: str
    ) -> asyncio.Task:
        """Start a task that runs until it is cancelled, again whenever it fails.

        Parameters
        ----------
        run : callable
            Coroutine function that returns only by an error.
        name : str
        """
        return self.start_task(self._keep_running(run, name), name=name)

    async def aclose(self) -> None:
        """Cancel all tasks and wait until they have finished."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _keep_running(
        self, run: Callable[[], Awaitable[None]], name: str
    ) -> None:
        loop = asyncio.get_running_loop()
        delay_s = MIN_RESTART_DELAY_S
        while True:
            started_at = loop.time()
            recovery = loop.call_later(STABLE_S, self._set_failing, name, False)
            try:
                await run()
                raise TaskEndedError
            except Exception as error:
                self.record_failure(name, error)
            finally:
                recovery.cancel()
            if loop.time() - started_at >= STABLE_S:
                delay_s = MIN_RESTART_DELAY_S
            elif delay_s > MIN_RESTART_DELAY_S:
                self._set_failing(name, True)
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_RESTART_DELAY_S)

    def _set_failing(self, name: str, is_failing: bool) -> None:
        (self.failing.add if is_failing else self.failing.discard)(name)
        self.metrics.gauge("task.failing", len(self.failing))

    def _finish(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self.record_failure(task.get_name(), task.exception())

    def record_failure(self, name: str, error: BaseException | None) -> None:
        """Count and log a failure that nothing awaits.

        Parameters
        ----------
        name : str
            What failed.
        error : BaseException or None
            None if it is not known.
        """
        self.metrics.count("task.failed")
        traceback_ = error.__traceback__ if error is not None else None
        frames = traceback.extract_tb(traceback_)[-MAX_LOGGED_FRAMES:]
        log_event(
            "task_failed",
            task=name,
            error=repr(error),
            at=" < ".join(f"{frame.name}:{frame.lineno}" for frame in reversed(frames)),
        )
