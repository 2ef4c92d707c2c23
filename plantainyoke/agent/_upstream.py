"""Runs requests on the upstream beside the agent, over HTTP/1.1.

Admits requests up to an adaptive concurrency limit, follows the upstream's health and
stops sending for a backoff after a failed connect or a shed request.
"""

import asyncio
from contextlib import AsyncExitStack

import aiohttp
from yarl import URL

from plantainyoke.agent._messages import (
    AnswerCutError,
    Headers,
    OutcomeUnknownError,
    Request,
    Sink,
)
from plantainyoke.configuration import ServiceRecord
from plantainyoke.limits import (
    AdaptiveConcurrencyLimit,
    DecayingRate,
    RefusalReason,
    RequestAdmission,
    RequestRefusedError,
)
from plantainyoke.telemetry import Metrics

CONNECT_TIMEOUT_S = 1.0
UNREACHABLE_BACKOFF_S = 0.5
FIRST_SHED_BACKOFF_S = 0.05
MAX_SHED_BACKOFF_S = 2.0
HEALTH_INTERVAL_S = 0.5
HEALTH_TIMEOUT_S = 0.5
CHUNK_BYTES = 65_536
DEADLINE_HEADER = "request-timeout-ms"
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-status",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
RESERVED_HEADER_PREFIX = "plantainyoke-"


class Upstream:
    """HTTP client of the upstream, with its admission and observed state.

    Parameters
    ----------
    base_url : str
        Scheme, host and port of the upstream.
    metrics : Metrics

    Attributes
    ----------
    limit : AdaptiveConcurrencyLimit
    admission : RequestAdmission
    shed_status : int or None
        HTTP status by which the upstream declares that it shed a request.
    served_rate : DecayingRate
        Requests per second answered without a failure.
    is_draining : bool
        Whether the health endpoint last reported that the upstream is draining.
    backoff_until : float
        Loop time until which requests go to another target if there is one.
    consecutive_sheds : int
        Requests shed in a row.
    """

    def __init__(self, base_url: str, metrics: Metrics) -> None:
        self.base_url = base_url
        self.metrics = metrics
        self.limit = AdaptiveConcurrencyLimit(1, 1)
        self.admission = RequestAdmission(self.limit)
        self.shed_status: int | None = None
        self.served_rate = DecayingRate(asyncio.get_running_loop().time())
        self.is_draining = False
        self.backoff_until = float("-inf")
        self.consecutive_sheds = 0
        self.stack = AsyncExitStack()
        self.session: aiohttp.ClientSession | None = None

    async def open(self, stack: AsyncExitStack) -> None:
        """Open the HTTP client until the stack closes."""
        connector = aiohttp.TCPConnector(limit=0)
        self.session = await stack.enter_async_context(
            aiohttp.ClientSession(connector=connector, auto_decompress=False)
        )

    def configure(self, record: ServiceRecord) -> None:
        """Apply the limits of the service."""
        limit = self.limit
        limit.ceiling = record.slots
        limit.floor = min(record.cold_slots, record.slots)
        limit.warm_up_requests = record.warm_up_requests
        limit.value = min(max(limit.value, limit.floor), limit.ceiling)
        self.shed_status = record.shed_status
        self.admission.admit_waiting()

    def is_reachable(self, now: float) -> bool:
        """Return whether no backoff is in force."""
        return now >= self.backoff_until

    async def run(self, request: Request, sink: Sink) -> None:
        """Run a request in a slot and write its answer.

        Parameters
        ----------
        request : Request
        sink : Sink
            Receives the answer.

        Raises
        ------
        RequestRefusedError
            The upstream did not run the request.
        OutcomeUnknownError, AnswerCutError
            The request may have run.
        """
        await self.admission.acquire(request.deadline)
        try:
            await self._exchange(request, sink)
        finally:
            self.admission.release()

    async def watch(self, request: Request, sink: Sink) -> None:
        """Run a stream of events, which occupies no slot."""
        await self._exchange(request, sink, is_watch=True)

    async def poll_health(self) -> None:
        """Poll the health endpoint at a fixed interval until cancelled."""
        while True:
            self.is_draining = await self._read_draining()
            await asyncio.sleep(HEALTH_INTERVAL_S)

    async def _read_draining(self) -> bool:
        timeout = aiohttp.ClientTimeout(total=HEALTH_TIMEOUT_S)
        url = self.base_url + "/health"
        try:
            async with self.session.get(url, timeout=timeout) as response:
                return (await response.json()).get("draining") is True
        except (aiohttp.ClientError, TimeoutError, ValueError, AttributeError):
            return self.is_draining

    async def _exchange(self, request: Request, sink: Sink, *, is_watch=False) -> None:
        loop = asyncio.get_running_loop()
        deadline = None if is_watch else request.deadline
        try:
            async with asyncio.timeout_at(deadline):
                latency_s = await self._send(request, sink, is_watch)
        except TimeoutError:
            self._record_failure(is_watch)
            raise OutcomeUnknownError("timeout") from None
        except aiohttp.ClientConnectorError:
            self._record_unreachable(loop.time())
            raise RequestRefusedError(RefusalReason.UNREACHABLE) from None
        except aiohttp.ClientError as error:
            self._record_failure(is_watch)
            if sink.is_started:
                raise AnswerCutError from error
            raise OutcomeUnknownError(type(error).__name__) from error
        if latency_s is not None:
            self._record_success(latency_s)

    async def _send(self, request: Request, sink: Sink, is_watch: bool) -> float | None:
        """Return the latency of the status, None for a watch or a failure."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        headers = [(name.decode(), value.decode()) for name, value in request.headers]
        if not is_watch:
            remaining_ms = max(1, round((request.deadline - loop.time()) * 1000))
            headers.append((DEADLINE_HEADER, str(remaining_ms)))
        if request.key:
            headers.append(("idempotency-key", request.key))
        async with self.session.request(
            request.method,
            URL(self.base_url + request.path, encoded=True),
            headers=headers,
            data=request.body or None,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
        ) as response:
            if response.status == self.shed_status:
                retry_after_s = _parse_retry_after_s(response)
                self._record_shed(loop.time(), retry_after_s)
                raise RequestRefusedError(RefusalReason.SHED, retry_after_s)
            self.consecutive_sheds = 0
            latency_s = loop.time() - started_at
            is_failure = response.status >= 500
            if is_failure:
                self._record_failure(is_watch)
            await sink.start(response.status, _filter_answer_headers(response))
            await _copy_body(response, sink)
            return None if is_watch or is_failure else latency_s

    def _record_success(self, latency_s: float) -> None:
        self.limit.record_success(latency_s)
        self.served_rate.record(asyncio.get_running_loop().time())
        self.admission.admit_waiting()

    def _record_failure(self, is_watch: bool) -> None:
        self.metrics.count("upstream.failed")
        if not is_watch:
            self.limit.record_failure()

    def _record_shed(self, now: float, retry_after_s: float) -> None:
        self.metrics.count("upstream.shed")
        self.limit.record_shed()
        backoff_s = min(
            MAX_SHED_BACKOFF_S, FIRST_SHED_BACKOFF_S * 2**self.consecutive_sheds
        )
        self.backoff_until = now + max(backoff_s, retry_after_s)
        self.consecutive_sheds += 1

    def _record_unreachable(self, now: float) -> None:
        self.metrics.count("upstream.unreachable")
        self.limit.record_unreachable()
        self.backoff_until = now + UNREACHABLE_BACKOFF_S


async def _copy_body(response: aiohttp.ClientResponse, sink: Sink) -> None:
    length = response.content_length
    if length is not None and length <= CHUNK_BYTES:
        await sink.finish(await response.read())
        return
    async for chunk in response.content.iter_chunked(CHUNK_BYTES):
        await sink.write(chunk)
    await sink.finish()


def _parse_retry_after_s(response: aiohttp.ClientResponse) -> float:
    text = response.headers.get("retry-after", "")
    return float(text) if text.isdigit() else 0.1


def _filter_answer_headers(response: aiohttp.ClientResponse) -> Headers:
    # Content-Length of an answer to HEAD counts the body that GET would return.
    dropped = (
        HOP_BY_HOP_HEADERS | {"content-length"}
        if response.method == "HEAD"
        else HOP_BY_HOP_HEADERS
    )
    return [
        (name.lower().encode(), value.encode())
        for name, value in response.headers.items()
        if name.lower() not in dropped
        and not name.lower().startswith(RESERVED_HEADER_PREFIX)
    ]
