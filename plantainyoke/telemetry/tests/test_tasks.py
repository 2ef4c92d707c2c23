import asyncio

import pytest

from plantainyoke.conftest import run_in_virtual_time
from plantainyoke.telemetry import Metrics, TaskSet
from plantainyoke.telemetry._tasks import MAX_RESTART_DELAY_S, STABLE_S


class FailingTask:
    """Task that fails some seconds after each start, as often as it is told to."""

    def __init__(self, failures, after_s=0.0, error=OverflowError):
        self.failures, self.after_s, self.error = failures, after_s, error
        self.started = 0

    async def run(self):
        self.started += 1
        await asyncio.sleep(self.after_s)
        if self.started <= self.failures:
            raise self.error
        await asyncio.Event().wait()


def _run(task, duration_s):
    """Run a task for some time; return its metrics and the tasks that failed then."""

    async def main():
        metrics = Metrics()
        tasks = TaskSet(metrics)
        tasks.start_essential_task(task.run, name="reader")
        await asyncio.sleep(duration_s)
        failing = set(tasks.failing)
        await tasks.aclose()
        return metrics, failing

    return run_in_virtual_time(main())


class TestEssentialTasks:
    # The task that reads the store ended by an error, and the process kept its view for
    # good without any sign but one line (review/4).
    def test_task_that_fails_is_started_again(self):
        task = FailingTask(failures=1)
        metrics, failing = _run(task, 1.0)
        assert task.started == 2
        assert metrics.counters["task.failed"] == 1
        assert not failing

    def test_task_that_returns_is_started_again(self):
        started = []

        class Returning:
            async def run(self):
                started.append(1)

        metrics, _ = _run(Returning(), 1.0)
        assert len(started) > 1
        assert metrics.counters["task.failed"] == len(started)

    def test_task_that_keeps_failing_is_reported_and_retried_at_a_bounded_rate(self):
        task = FailingTask(failures=10_000)
        metrics, failing = _run(task, 100.0)
        assert failing == {"reader"}
        assert metrics.gauges["task.failing"] == 1
        assert 100.0 / MAX_RESTART_DELAY_S <= task.started <= 60

    def test_task_that_is_stable_again_is_no_longer_reported(self):
        task = FailingTask(failures=3)
        metrics, failing = _run(task, 2 * STABLE_S)
        assert not failing
        assert metrics.gauges["task.failing"] == 0

    def test_failures_that_are_far_apart_are_not_reported_as_lasting(self):
        task = FailingTask(failures=10, after_s=2 * STABLE_S)
        _, failing = _run(task, 60.0)
        assert task.started == 6
        assert not failing

    def test_closing_ends_the_task(self):
        async def main():
            tasks = TaskSet(Metrics())
            task = tasks.start_essential_task(FailingTask(0).run, name="reader")
            await asyncio.sleep(1.0)
            await tasks.aclose()
            assert task.cancelled()

        run_in_virtual_time(main())

    @pytest.mark.parametrize("error", [SystemExit, KeyboardInterrupt])
    def test_request_to_exit_is_no_failure(self, error):
        with pytest.raises(error):
            _run(FailingTask(failures=1, error=error), 1.0)
