"""Decides where each request runs and how its end is reported."""

import asyncio
from collections.abc import Callable

from plantainyoke.agent._messages import (
    BufferSink,
    OutcomeUnknownError,
    Request,
    Sink,
    send_answer,
)
from plantainyoke.agent._records import IdempotencyRecords
from plantainyoke.agent._relay import RelayClient
from plantainyoke.agent._siblings import Siblings
from plantainyoke.agent._upstream import Upstream
from plantainyoke.limits import (
    DecayingRate,
    RefusalReason,
    RequestRefusedError,
    RetryBudget,
)
from plantainyoke.node import PauseDetector
from plantainyoke.telemetry import Metrics

MAX_PLACES = 3
DEFAULT_TIMEOUT_S = 30.0
MINIMUM_RATE = 2.0  # requests a second; below it rates are noise
RATE_TOLERANCE = 1.05
LOCAL = 0  # stands for the upstream beside this agent


class Dispatcher:
    """Runs requests on the local upstream or on a sibling's.

    Parameters
    ----------
    upstream : Upstream
    siblings : Siblings
    relay : RelayClient
    records : IdempotencyRecords
    metrics : Metrics
    is_leaving : callable
        Tells whether this agent or its upstream leaves.
    pause_detector : PauseDetector
    can_relay : bool, default=True
        False keeps every request on the local upstream; a baseline.
    """

    def __init__(
        self,
        *,
        upstream: Upstream,
        siblings: Siblings,
        relay: RelayClient,
        records: IdempotencyRecords,
        metrics: Metrics,
        is_leaving: Callable[[], bool],
        pause_detector: PauseDetector,
        can_relay: bool = True,
    ) -> None:
        self.upstream = upstream
        self.siblings = siblings
        self.relay = relay
        self.records = records
        self.metrics = metrics
        self.is_leaving = is_leaving
        self.pause_detector = pause_detector
        self.can_relay = can_relay
        self.request_timeout_s = DEFAULT_TIMEOUT_S
        self.budget = RetryBudget()
        self.loop = asyncio.get_running_loop()
        self.arrival_rate = DecayingRate(self.loop.time())
        self.relay_credit = 0.0

    async def serve(self, request: Request, sink: Sink) -> None:
        """Run one request and write its answer.

        Raises
        ------
        RequestRefusedError
            The request did not run.
        RequestError
            It may have run.
        """
        self.metrics.count("request.received")
        if not request.key:
            await self._run(request, sink)
            return
        answer = await self.records.run(request, self._run_buffered)
        await send_answer(answer, sink)

    async def _run_buffered(self, request: Request):
        sink = BufferSink()
        await self._run(request, sink)
        return sink.answer()

    async def _run(self, request: Request, sink: Sink) -> None:
        """Try places until one runs the request or the budget is spent."""
        self.budget.record_request()
        tried: set[int] = set()
        for attempt in range(MAX_PLACES):
            place = self._choose_place(request, tried)
            try:
                await self._run_at(place, request, sink)
                return
            except RequestRefusedError as refusal:
                self.metrics.count(f"refusal.{refusal.reason.value}")
                tried.add(place)
                if not self._may_retry(request, attempt, refusal.reason.value):
                    raise
            except OutcomeUnknownError as error:
                tried.add(place)
                if not request.is_idempotent or sink.is_started:
                    raise
                if not self._may_retry(request, attempt, error.cause):
                    raise

    async def _run_at(self, place: int, request: Request, sink: Sink) -> None:
        if place != LOCAL:
            self.metrics.count("request.relayed")
            sibling = self.siblings.members[place]
            self.siblings.record_sent(place)
            try:
                await self.relay.run(place, sibling.load.incarnation, request, sink)
            except RequestRefusedError as refusal:
                if refusal.reason is RefusalReason.UNREACHABLE:
                    self.siblings.record_failure(place)
                raise
            return
        if request.is_watch:
            await self.upstream.watch(request, sink)
            return
        await self.upstream.run(request, sink)

    def _may_retry(self, request: Request, attempt: int, reason: str) -> bool:
        if attempt + 1 >= MAX_PLACES or request.is_relayed:
            return False
        if request.deadline <= self.loop.time():
            return False
        if not self.budget.try_acquire():
            self.metrics.count("retry.budget_spent")
            return False
        self.metrics.count(f"retry.{reason}")
        return True

    def _choose_place(self, request: Request, tried: set[int]) -> int:
        now = self.loop.time()
        if request.is_relayed or not self.can_relay:
            return LOCAL
        local_usable = LOCAL not in tried and self._is_local_usable(now)
        if local_usable and request.is_watch:
            return LOCAL
        if local_usable and self.upstream.admission.has_free_slot:
            return self._choose_by_rate(now) if not tried else LOCAL
        choose = self.siblings.choose
        sibling = choose(now, exclude=tried, need_room=not request.is_watch)
        if sibling is not None:
            return sibling
        if local_usable:
            return LOCAL
        sibling = choose(now, exclude=tried, need_room=False)
        return LOCAL if sibling is None else sibling

    def _choose_by_rate(self, now: float) -> int:
        """Relay the share of the arrivals that exceeds the service's mean rate."""
        self.arrival_rate.record(now)
        arrivals = self.arrival_rate.read(now)
        own_rate = self.upstream.served_rate.read(now)
        mean = self.siblings.mean_rate(now, own_rate)
        if mean < MINIMUM_RATE or arrivals <= mean * RATE_TOLERANCE:
            self.relay_credit = 0.0
            return LOCAL
        self.relay_credit += 1.0 - mean / arrivals
        if self.relay_credit < 1.0:
            return LOCAL
        self.relay_credit -= 1.0
        sibling = self.siblings.least_served(now, mean)
        if sibling is None:
            return LOCAL
        self.metrics.count("request.relayed_for_balance")
        return sibling

    def _is_local_usable(self, now: float) -> bool:
        return not self.is_leaving() and self.upstream.is_reachable(now)
