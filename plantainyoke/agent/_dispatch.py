"""Chooses the target of each request: the local upstream or a sibling.

A request that did not run, or an idempotent one whose outcome is unknown, is retried on
another target within a retry budget. Requests with an idempotency key go through the
records, which run each key at most once.
"""

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

MAX_ATTEMPTS = 3
DEFAULT_TIMEOUT_S = 30.0
MIN_RATE_PER_S = 2.0  # at lower rates the estimates are mostly noise
RATE_TOLERANCE = 1.05
LOCAL = 0  # the upstream beside this agent; a sibling is a packed address


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
        Returns whether this agent or its upstream is leaving.
    pause_detector : PauseDetector
    can_relay : bool, default=True
        False keeps every request on the local upstream, as a baseline for benchmarks.

    Attributes
    ----------
    request_timeout_s : float
        Longest time that the service allows for a request.
    relay_credit : float
        Fraction of a request that is due to be relayed for balance.
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
        self.retry_budget = RetryBudget()
        self.loop = asyncio.get_running_loop()
        self.arrival_rate = DecayingRate(self.loop.time())
        self.relay_credit = 0.0

    async def serve(self, request: Request, sink: Sink) -> None:
        """Run one request and write its answer.

        Parameters
        ----------
        request : Request
        sink : Sink
            Receives the answer.

        Raises
        ------
        RequestRefusedError
            The request did not run.
        RequestError
            The request may have run.
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
        """Try targets until one runs the request or no retry is allowed."""
        self.retry_budget.record_request()
        tried: set[int] = set()
        for attempt in range(MAX_ATTEMPTS):
            target = self._choose_target(request, tried)
            try:
                await self._run_on(target, request, sink)
                return
            except RequestRefusedError as refusal:
                self.metrics.count(f"refusal.{refusal.reason.value}")
                tried.add(target)
                if not self._may_retry(request, attempt, refusal.reason.value):
                    raise
            except OutcomeUnknownError as error:
                tried.add(target)
                if not request.is_idempotent or sink.is_started:
                    raise
                if not self._may_retry(request, attempt, error.cause):
                    raise

    async def _run_on(self, target: int, request: Request, sink: Sink) -> None:
        if target != LOCAL:
            self.metrics.count("request.relayed")
            sibling = self.siblings.members[target]
            self.siblings.record_relayed(target)
            try:
                await self.relay.run(target, sibling.load.incarnation, request, sink)
            except RequestRefusedError as refusal:
                if refusal.reason is RefusalReason.UNREACHABLE:
                    self.siblings.record_failure(target)
                raise
            return
        if request.is_watch:
            await self.upstream.watch(request, sink)
            return
        await self.upstream.run(request, sink)

    def _may_retry(self, request: Request, attempt: int, reason: str) -> bool:
        if attempt + 1 >= MAX_ATTEMPTS or request.is_relayed:
            return False
        if request.deadline <= self.loop.time():
            return False
        if not self.retry_budget.try_acquire():
            self.metrics.count("retry.budget_spent")
            return False
        self.metrics.count(f"retry.{reason}")
        return True

    def _choose_target(self, request: Request, tried: set[int]) -> int:
        now = self.loop.time()
        if request.is_relayed or not self.can_relay:
            return LOCAL
        is_local_eligible = LOCAL not in tried and self._is_local_eligible(now)
        if is_local_eligible and request.is_watch:
            return LOCAL
        if is_local_eligible and self.upstream.admission.has_free_slot:
            return self._choose_by_rate(now) if not tried else LOCAL
        choose = self.siblings.choose
        sibling = choose(now, exclude=tried, needs_free_slot=not request.is_watch)
        if sibling is not None:
            return sibling
        if is_local_eligible:
            return LOCAL
        sibling = choose(now, exclude=tried, needs_free_slot=False)
        return LOCAL if sibling is None else sibling

    def _choose_by_rate(self, now: float) -> int:
        """Relay the share of the arrivals that exceeds the service's mean rate.

        ``relay_credit`` adds up this share; each whole credit relays one request.
        """
        self.arrival_rate.record(now)
        arrivals = self.arrival_rate.read(now)
        local_rate = self.upstream.served_rate.read(now)
        mean_rate = self.siblings.compute_mean_rate(now, local_rate)
        if mean_rate < MIN_RATE_PER_S or arrivals <= mean_rate * RATE_TOLERANCE:
            self.relay_credit = 0.0
            return LOCAL
        self.relay_credit += 1.0 - mean_rate / arrivals
        if self.relay_credit < 1.0:
            return LOCAL
        self.relay_credit -= 1.0
        sibling = self.siblings.choose_least_served(now, mean_rate)
        if sibling is None:
            return LOCAL
        self.metrics.count("request.relayed_for_balance")
        return sibling

    def _is_local_eligible(self, now: float) -> bool:
        return not self.is_leaving() and self.upstream.is_reachable(now)
