import asyncio
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainyoke.agent import (
    Answer,
    AnswerNotKeptError,
    IdempotencyRecords,
    KeyReusedError,
    OutcomeUnknownError,
    RecordState,
    Request,
    ResumeQuery,
)
from plantainyoke.agent._records import LARGE_ANSWER_KEPT_S, MAX_KEPT_ANSWER_BYTES
from plantainyoke.conftest import run_in_virtual_time
from plantainyoke.limits import RefusalReason, RequestRefusedError

INCARNATION = 77


def _request(
    key: str, *, body: bytes = b"", resume: ResumeQuery | None = None
) -> Request:
    return Request("POST", "/orders", [], body, 1e9, key=key, resume=resume)


def _records(capacity: int = 100, retention_s: float = 60.0) -> IdempotencyRecords:
    return IdempotencyRecords(
        incarnation=INCARNATION, capacity=capacity, retention_s=retention_s
    )


class ScriptedUpstream:
    """An upstream that plays scripted outcomes and counts the runs of each key."""

    def __init__(self, outcomes=()) -> None:
        self.runs: Counter[str] = Counter()
        self.outcomes = list(outcomes)

    async def run(self, request: Request) -> Answer:
        outcome, seconds = self.outcomes.pop(0) if self.outcomes else ("answer", 0.1)
        if outcome == "refuse":
            raise RequestRefusedError(RefusalReason.QUEUE_FULL)
        self.runs[request.key] += 1
        await asyncio.sleep(seconds)
        if outcome == "unknown":
            raise OutcomeUnknownError("timeout")
        return Answer(200, [], request.key.encode())


keys = st.sampled_from("abcde")
outcomes = st.lists(
    st.tuples(st.sampled_from(["answer", "refuse", "unknown"]), st.floats(0, 20)),
    max_size=40,
)
steps = st.lists(
    st.tuples(
        st.sampled_from(["send", "resume", "cancel", "wait"]), keys, st.floats(0, 90)
    ),
    max_size=40,
)


class TestAtMostOnce:
    @given(steps, outcomes, st.integers(1, 4), st.floats(0.1, 30))
    def test_no_interleaving_runs_a_key_twice(
        self, schedule, upstream_outcomes, capacity, retention_s
    ):
        """Sends, resumed requests, cancellations, evictions and failures interleave.

        Only the first request of a key is sent without resume; the later ones are
        resumed, as a caller does. Only a refused request may run again.
        """

        async def scenario():
            records = _records(capacity, retention_s)
            upstream = ScriptedUpstream(upstream_outcomes)
            loop = asyncio.get_running_loop()
            first_sent: dict[str, float] = {}
            tasks: list[asyncio.Task] = []
            for action, key, seconds in schedule:
                if action == "wait":
                    await asyncio.sleep(seconds)
                    continue
                if action == "cancel":
                    for task in tasks[-1:]:
                        task.cancel()
                    await asyncio.sleep(0)
                    continue
                resume = None
                if key in first_sent:
                    resume = ResumeQuery(INCARNATION, first_sent[key] - 0.001)
                elif action == "resume":
                    continue
                first_sent.setdefault(key, loop.time())
                request = _request(key, resume=resume)
                tasks.append(loop.create_task(records.run(request, upstream.run)))
                await asyncio.sleep(0)
            await asyncio.gather(*tasks, return_exceptions=True)
            assert max(upstream.runs.values(), default=0) <= 1
            for task in tasks:
                if not task.cancelled() and isinstance(
                    task.exception(), RequestRefusedError
                ):
                    assert len(records.records) <= capacity

        run_in_virtual_time(scenario())

    def test_refused_request_may_run_later(self):
        async def scenario():
            records, upstream = (
                _records(),
                ScriptedUpstream([("refuse", 0), ("answer", 0)]),
            )
            with pytest.raises(RequestRefusedError):
                await records.run(_request("a"), upstream.run)
            assert records.get_state("a") is RecordState.NOT_RUN
            answer = await records.run(_request("a"), upstream.run)
            assert answer.body == b"a"
            assert upstream.runs == {"a": 1}

        run_in_virtual_time(scenario())

    def test_requests_with_one_key_share_the_run_in_progress(self):
        async def scenario():
            records, upstream = _records(), ScriptedUpstream()
            answers = await asyncio.gather(
                *(records.run(_request("a"), upstream.run) for _ in range(5))
            )
            assert {answer.body for answer in answers} == {b"a"}
            assert upstream.runs == {"a": 1}

        run_in_virtual_time(scenario())

    def test_request_resumed_from_another_incarnation_is_unknown(self):
        async def scenario():
            records, upstream = _records(), ScriptedUpstream()
            request = _request("a", resume=ResumeQuery(INCARNATION + 1, 0.0))
            with pytest.raises(OutcomeUnknownError, match="agent_restarted"):
                await records.run(request, upstream.run)
            assert not upstream.runs

        run_in_virtual_time(scenario())

    def test_resumed_request_of_evicted_record_is_unknown(self):
        async def scenario():
            records, upstream = _records(capacity=1), ScriptedUpstream()
            await asyncio.sleep(1.0)
            await records.run(_request("a"), upstream.run)
            await records.run(_request("b"), upstream.run)
            assert records.get_state("a") is None
            with pytest.raises(OutcomeUnknownError, match="record_evicted"):
                await records.run(
                    _request("a", resume=ResumeQuery(INCARNATION, 0.9)), upstream.run
                )
            assert upstream.runs["a"] == 1

        run_in_virtual_time(scenario())

    def test_unseen_request_runs_if_only_older_records_were_evicted(self):
        async def scenario():
            records, upstream = _records(capacity=1), ScriptedUpstream()
            await records.run(_request("a"), upstream.run)
            await records.run(_request("b"), upstream.run)
            await asyncio.sleep(5.0)
            request = _request("c", resume=ResumeQuery(INCARNATION, 4.0))
            assert (await records.run(request, upstream.run)).body == b"c"

        run_in_virtual_time(scenario())

    def test_key_reused_for_a_different_body_is_refused(self):
        async def scenario():
            records, upstream = _records(), ScriptedUpstream()
            await records.run(_request("a", body=b"span 7"), upstream.run)
            with pytest.raises(KeyReusedError):
                await records.run(_request("a", body=b"span 8"), upstream.run)
            assert upstream.runs == {"a": 1}

        run_in_virtual_time(scenario())

    def test_large_answer_reaches_the_caller_and_then_expires(self):
        async def scenario():
            records = _records()
            runs = 0

            async def run(request):
                nonlocal runs
                runs += 1
                await asyncio.sleep(0.1)
                return Answer(200, [], b"x" * (MAX_KEPT_ANSWER_BYTES + 1))

            answer = await records.run(_request("a"), run)
            assert len(answer.body) > MAX_KEPT_ANSWER_BYTES
            await asyncio.sleep(LARGE_ANSWER_KEPT_S + 1.0)
            with pytest.raises(AnswerNotKeptError):
                await records.run(_request("a"), run)
            assert runs == 1

        run_in_virtual_time(scenario())
