"""Idempotency records, which keep a keyed request from running twice.

A record holds the state and the answer of one key. A repeated or resumed request
receives the result of the first run. If no record is left to show whether the request
ran, its outcome is reported as unknown.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum

import xxhash

from plantainyoke.agent._messages import (
    Answer,
    AnswerNotKeptError,
    KeyReusedError,
    OutcomeUnknownError,
    Request,
    RequestError,
)
from plantainyoke.limits import RefusalReason, RequestRefusedError

MAX_KEPT_ANSWER_BYTES = 262_144  # larger answers expire after LARGE_ANSWER_KEPT_S
LARGE_ANSWER_KEPT_S = 2.0

RunRequest = Callable[[Request], Awaitable[Answer]]


class RecordState(Enum):
    """State of a keyed request."""

    RUNNING = "running"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class Record:
    """One keyed request.

    Attributes
    ----------
    fingerprint : int
        Hash of the method, path and body.
    started_at, finished_at : float
        Loop times in seconds.
    task : asyncio.Task
        Runs the request; it continues after the request's connection has closed.
    state : RecordState
    answer : Answer, optional
    error : Exception, optional
        Reason why there is no answer.
    finished : asyncio.Event
        Set when the run has ended.
    """

    fingerprint: int
    started_at: float
    task: asyncio.Task | None = None
    state: RecordState = RecordState.RUNNING
    finished_at: float = 0.0
    answer: Answer | None = None
    error: Exception | None = None
    finished: asyncio.Event = field(default_factory=asyncio.Event)


class IdempotencyRecords:
    """The keyed requests of one incarnation of an agent.

    Parameters
    ----------
    incarnation : int
    capacity : int
        Maximum number of records.
    retention_s : float
        Time for which a finished record is kept, unless the capacity is reached.

    Attributes
    ----------
    records : dict of str to Record
        Records by key, oldest first.
    evicted_until : float
        Latest start of an evicted record, in loop time. If a request without a
        record may have been sent by then, its outcome is unknown.
    """

    def __init__(self, *, incarnation: int, capacity: int, retention_s: float) -> None:
        self.incarnation = incarnation
        self.capacity = capacity
        self.retention_s = retention_s
        self.records: dict[str, Record] = {}
        self.evicted_until = float("-inf")

    def get_state(self, key: str) -> RecordState | None:
        """Return the state of a key, None if it has no record."""
        record = self.records.get(key)
        return None if record is None else record.state

    async def run(self, request: Request, run: RunRequest) -> Answer:
        """Run a keyed request unless it has run, and return its answer.

        A second request with the same key waits for the result of the first.

        Parameters
        ----------
        request : Request
        run : callable
            Coroutine function that runs the request and returns its answer.

        Returns
        -------
        Answer

        Raises
        ------
        RequestRefusedError
            The request did not run.
        OutcomeUnknownError
            The request may have run.
        KeyReusedError
            The key belongs to a different request.
        AnswerNotKeptError
            The request ran, but its answer is no longer kept.
        """
        record = self._find_or_start(request, run)
        try:
            await record.finished.wait()
        except asyncio.CancelledError:
            # The caller cancelled the request: cancel it on the upstream as well.
            record.task.cancel()
            raise
        return _get_result(record)

    def _find_or_start(self, request: Request, run: RunRequest) -> Record:
        fingerprint = _fingerprint(request)
        record = self.records.get(request.key)
        if record is not None and record.state is not RecordState.NOT_RUN:
            if record.fingerprint != fingerprint:
                raise KeyReusedError
            return record
        self._check_resume(request)
        return self._start(request, run, fingerprint)

    def _check_resume(self, request: Request) -> None:
        resume = request.resume
        if resume is None:
            return
        if resume.incarnation != self.incarnation:
            raise OutcomeUnknownError("agent_restarted")
        if resume.sent_after <= self.evicted_until:
            raise OutcomeUnknownError("record_evicted")

    def _start(self, request: Request, run: RunRequest, fingerprint: int) -> Record:
        loop = asyncio.get_running_loop()
        self._evict_records(loop.time())
        self.records.pop(request.key, None)
        record = Record(fingerprint, loop.time())
        self.records[request.key] = record
        record.task = loop.create_task(self._execute(record, request, run))
        return record

    async def _execute(self, record: Record, request: Request, run: RunRequest) -> None:
        try:
            answer = await run(request)
        except RequestRefusedError as error:
            record.state = RecordState.NOT_RUN
            record.error = error
        except RequestError as error:
            record.state = RecordState.UNKNOWN
            record.error = error
        except asyncio.CancelledError:
            record.state = RecordState.UNKNOWN
            record.error = OutcomeUnknownError("cancelled")
            raise
        except Exception as error:
            record.state = RecordState.UNKNOWN
            record.error = OutcomeUnknownError(type(error).__name__)
            raise
        else:
            record.state = RecordState.DONE
            _keep_answer(record, answer)
        finally:
            record.finished_at = asyncio.get_running_loop().time()
            record.finished.set()

    def _evict_records(self, now: float) -> None:
        expired_before = now - self.retention_s
        for key, record in list(self.records.items()):
            is_full = len(self.records) >= self.capacity
            if record.state is RecordState.RUNNING:
                if is_full:
                    continue
                break
            if record.finished_at > expired_before and not is_full:
                break
            self._evict(key, record)
        if len(self.records) >= self.capacity:
            raise RequestRefusedError(RefusalReason.QUEUE_FULL)

    def _evict(self, key: str, record: Record) -> None:
        del self.records[key]
        if record.state is not RecordState.NOT_RUN:
            self.evicted_until = max(self.evicted_until, record.started_at)


def _fingerprint(request: Request) -> int:
    hasher = xxhash.xxh3_64(request.method.encode())
    hasher.update(request.path.encode())
    hasher.update(request.body)
    return hasher.intdigest()


def _keep_answer(record: Record, answer: Answer) -> None:
    record.answer = answer
    if len(answer.body) > MAX_KEPT_ANSWER_BYTES:
        loop = asyncio.get_running_loop()
        loop.call_later(LARGE_ANSWER_KEPT_S, _drop_answer, record)


def _drop_answer(record: Record) -> None:
    record.answer = None
    record.error = AnswerNotKeptError()


def _get_result(record: Record) -> Answer:
    if record.answer is not None:
        return record.answer
    raise record.error
