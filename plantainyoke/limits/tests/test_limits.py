import asyncio
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainyoke.conftest import run_in_virtual_time
from plantainyoke.limits import (
    AdaptiveConcurrencyLimit,
    DecayingRate,
    RefusalReason,
    RequestAdmission,
    RequestRefusedError,
    RetryBudget,
    TokenBucket,
    draw_backoff_s,
)

FLOOR, CEILING, WARM_UP = 1, 8, 20


def _limit() -> AdaptiveConcurrencyLimit:
    return AdaptiveConcurrencyLimit(FLOOR, CEILING, warm_up_requests=WARM_UP)


def _warm_limit() -> AdaptiveConcurrencyLimit:
    limit = _limit()
    while limit.value < CEILING:
        limit.record_success(0.01)
    return limit


class TestAdaptiveConcurrencyLimit:
    def test_limit_stays_at_the_floor_during_warm_up(self):
        limit = _limit()
        for _ in range(WARM_UP - 1):
            limit.record_success(0.01)
            assert limit.value == FLOOR
        limit.record_success(0.01)
        assert limit.value == FLOOR + 1

    @pytest.mark.parametrize(
        "outcomes",
        [
            ["failure", "failure"],
            ["unreachable"],
            ["slow", "slow"],
        ],
    )
    def test_apparent_cold_start_resets_the_limit_to_the_floor(self, outcomes):
        limit = _warm_limit()
        for outcome in outcomes:
            if outcome == "slow":
                limit.record_success(0.5)
            else:
                getattr(limit, f"record_{outcome}")()
        assert limit.value == FLOOR
        assert limit.is_cold

    def test_one_slow_answer_is_not_a_cold_start(self):
        limit = _warm_limit()
        limit.record_success(0.5)
        limit.record_success(0.01)
        limit.record_success(0.5)
        assert limit.value == CEILING

    @given(
        st.lists(st.sampled_from(["success", "slow", "shed", "failure", "unreachable"]))
    )
    def test_limit_is_always_between_floor_and_ceiling(self, outcomes):
        limit = _limit()
        for outcome in outcomes:
            if outcome in ("success", "slow"):
                limit.record_success(0.01 if outcome == "success" else 1.0)
            elif outcome == "unreachable":
                limit.record_unreachable()
            else:
                getattr(limit, f"record_{outcome}")()
            assert FLOOR <= limit.value <= CEILING


class TestAdmission:
    def test_requests_in_flight_never_exceed_the_limit(self):
        async def scenario():
            limit = AdaptiveConcurrencyLimit(2, 2)
            admission = RequestAdmission(limit)
            max_in_flight = 0

            async def work():
                nonlocal max_in_flight
                await admission.acquire(100.0)
                max_in_flight = max(max_in_flight, admission.in_flight)
                await asyncio.sleep(1.0)
                admission.release()

            await asyncio.gather(*(work() for _ in range(10)))
            assert max_in_flight == 2
            assert asyncio.get_running_loop().time() == pytest.approx(5.0)

        run_in_virtual_time(scenario())

    def test_request_whose_deadline_expires_in_the_queue_never_starts(self):
        async def scenario():
            admission = RequestAdmission(AdaptiveConcurrencyLimit(1, 1))
            await admission.acquire(100.0)
            with pytest.raises(RequestRefusedError) as refusal:
                await admission.acquire(3.0)
            assert refusal.value.reason is RefusalReason.DEADLINE_EXPIRED
            assert asyncio.get_running_loop().time() == pytest.approx(3.0)
            admission.release()
            assert admission.in_flight == 0

        run_in_virtual_time(scenario())

    def test_full_queue_refuses_a_request(self):
        async def scenario():
            admission = RequestAdmission(AdaptiveConcurrencyLimit(1, 1))
            await admission.acquire(100.0)
            waiting = [
                asyncio.ensure_future(admission.acquire(100.0))
                for _ in range(admission.queue_capacity)
            ]
            await asyncio.sleep(0)
            with pytest.raises(RequestRefusedError) as refusal:
                await admission.acquire(100.0)
            assert refusal.value.reason is RefusalReason.QUEUE_FULL
            for task in waiting:
                task.cancel()
            await asyncio.gather(*waiting, return_exceptions=True)
            assert not admission.waiters

        run_in_virtual_time(scenario())

    @given(
        st.lists(
            st.tuples(st.floats(0, 5), st.floats(0.01, 3), st.floats(0.01, 3)),
            max_size=25,
        )
    )
    def test_every_slot_is_released_despite_cancellation_and_deadlines(self, jobs):
        """Guard against slots that leak or are allocated twice on cancel or expiry."""

        async def scenario():
            admission = RequestAdmission(AdaptiveConcurrencyLimit(2, 2))
            loop = asyncio.get_running_loop()

            async def work(start_s, timeout_s, duration_s):
                await asyncio.sleep(start_s)
                try:
                    await admission.acquire(loop.time() + timeout_s)
                except RequestRefusedError:
                    return
                try:
                    assert admission.in_flight <= 2
                    await asyncio.sleep(duration_s)
                finally:
                    admission.release()

            tasks = [asyncio.ensure_future(work(*job)) for job in jobs]
            await asyncio.sleep(2.5)
            for task in tasks[::3]:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            assert admission.in_flight == 0
            assert not admission.waiters

        run_in_virtual_time(scenario())


class TestRetryBudget:
    @given(st.lists(st.booleans(), max_size=300))
    def test_retries_never_exceed_the_budget(self, retries_wanted):
        budget = RetryBudget(deposit=0.1, capacity=10.0, initial=3.0)
        retries = 0
        for is_retry_wanted in retries_wanted:
            budget.record_request()
            retries += is_retry_wanted and budget.try_acquire()
        assert retries <= 3.0 + 0.1 * len(retries_wanted) + 1e-6

    @given(st.integers(0, 30), st.integers())
    def test_backoff_is_bounded_and_not_before_retry_after(self, attempt, seed):
        delay = draw_backoff_s(attempt, random.Random(seed), minimum_s=0.5)
        assert 0.5 <= delay <= 2.5


class TestTokenBucket:
    @given(st.lists(st.floats(0, 0.5), max_size=200))
    def test_events_never_exceed_rate_and_burst(self, gaps):
        bucket = TokenBucket(rate_per_s=10, burst=5, now=0.0)
        now, acquired = 0.0, 0
        for gap in gaps:
            now += gap
            acquired += bucket.try_acquire(now)
        assert acquired <= 5 + 10 * now + 1e-6


class TestDecayingRate:
    def test_steady_events_are_read_as_their_rate_and_decay(self):
        rate = DecayingRate(0.0)
        for step in range(1, 400):
            rate.record(step * 0.05)
        assert rate.read(20.0) == pytest.approx(20.0, rel=0.1)
        assert rate.read(60.0) < 0.1
