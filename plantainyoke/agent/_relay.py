"""Relays requests between agents of one service, one hop."""

import asyncio

from plantainyoke.agent._messages import (
    AnswerCutError,
    Headers,
    OutcomeUnknownError,
    Request,
    RequestError,
    ResumeQuery,
    Sink,
)
from plantainyoke.limits import RefusalReason, RequestRefusedError
from plantainyoke.node import Link, LinkClosedError, Node

RESUME_ATTEMPTS = 3
RESUME_DELAY_S = 0.2
SECONDS_TO_MS = 1000


class RelayClient:
    """Sends requests to siblings.

    Parameters
    ----------
    node : Node
    service_id : int
    """

    def __init__(self, node: Node, service_id: int) -> None:
        self.node = node
        self.service_id = service_id

    async def run(
        self, sibling: int, incarnation: int, request: Request, sink: Sink
    ) -> None:
        """Run a request on a sibling and write its answer.

        A keyed request whose link breaks is asked for again on a new link, by
        the same rule as a caller's.

        Raises
        ------
        RequestRefusedError
            The request did not run.
        RequestError
            It may have run.
        """
        sent_at = asyncio.get_running_loop().time()
        try:
            link = await self.node.links.connect(sibling)
        except LinkClosedError:
            raise RequestRefusedError(RefusalReason.UNREACHABLE) from None
        try:
            await self._exchange(link, request, sink, None)
        except LinkClosedError:
            if sink.is_started:
                raise AnswerCutError from None
            await self._resume(sibling, incarnation, request, sink, sent_at)

    async def _resume(
        self, sibling: int, incarnation: int, request: Request, sink: Sink, sent_at
    ) -> None:
        self.node.metrics.count("relay.link_lost")
        if not request.key:
            raise OutcomeUnknownError("relay_lost")
        for _ in range(RESUME_ATTEMPTS):
            await asyncio.sleep(RESUME_DELAY_S)
            try:
                link = await self.node.links.connect(sibling)
                resume = ResumeQuery(incarnation, sent_at)
                await self._exchange(link, request, sink, resume)
            except LinkClosedError:
                if sink.is_started:
                    raise AnswerCutError from None
                continue
            except RequestRefusedError:
                # The first try may have run before the sibling refused this one.
                raise OutcomeUnknownError("relay_lost") from None
            self.node.metrics.count("relay.resumed")
            return
        raise OutcomeUnknownError("relay_lost")

    async def _exchange(
        self, link: Link, request: Request, sink: Sink, resume: ResumeQuery | None
    ) -> None:
        number, queue = link.open_request()
        is_complete = False
        try:
            link.send(self._request_frame(link, number, request, resume))
            await link.writer.drain()
            await self._receive(queue, request, sink)
            is_complete = True
        except ConnectionError:
            raise LinkClosedError from None
        finally:
            link.close_request(number)
            if not is_complete and not link.is_closed:
                cancel = link.new_frame()
                cancel.cancel = number
                link.send(cancel)

    async def _receive(self, queue: asyncio.Queue, request: Request, sink) -> None:
        deadline = None if request.is_watch else request.deadline
        try:
            async with asyncio.timeout_at(deadline):
                while True:
                    frame = await queue.get()
                    if frame is None:
                        raise LinkClosedError
                    if await self._take_frame(frame, sink):
                        return
        except TimeoutError:
            raise OutcomeUnknownError("timeout") from None

    async def _take_frame(self, frame: dict, sink: Sink) -> bool:
        if "failure" in frame:
            _raise_failure(frame["failure"], sink)
        if "responseHead" in frame:
            head = frame["responseHead"]
            await sink.start(head["status"], _headers_of(head))
            return False
        data = frame["responseData"]
        piece = data.get("data", b"")
        if data["end"]:
            await sink.finish(piece)
        else:
            await sink.write(piece)
        return data["end"]

    def _request_frame(self, link: Link, number: int, request: Request, resume):
        now = asyncio.get_running_loop().time()
        frame = link.new_frame()
        body = frame.init("request")
        body.id = number
        body.service = self.service_id
        body.method = request.method
        body.path = request.path
        _write_headers(body, request.headers)
        body.body = request.body
        body.key = request.key
        body.remainingMs = max(0, round((request.deadline - now) * SECONDS_TO_MS))
        if resume is not None:
            body.resume = True
            body.incarnation = resume.incarnation
            body.ageMs = round((now - resume.sent_after) * SECONDS_TO_MS)
        return frame


class LinkSink:
    """Writes an answer to the sibling that relayed the request."""

    def __init__(self, link: Link, number: int) -> None:
        self.link = link
        self.number = number
        self.is_started = False

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status and headers."""
        self.is_started = True
        frame = self.link.new_frame()
        head = frame.init("responseHead")
        head.id = self.number
        head.status = status
        _write_headers(head, headers)
        self.link.send(frame)

    async def write(self, data: bytes) -> None:
        """Send a piece of the body."""
        await self._send_data(data, end=False)

    async def finish(self, data: bytes = b"") -> None:
        """Send the last piece and the end of the body."""
        await self._send_data(data, end=True)

    def fail(self, kind: str, *, not_run: bool, retry_after_s: float = 0.0) -> None:
        """Send the reason why there is no whole answer."""
        frame = self.link.new_frame()
        failure = frame.init("failure")
        failure.id = self.number
        failure.kind = kind
        failure.notRun = not_run
        failure.retryAfterMs = round(retry_after_s * SECONDS_TO_MS)
        self.link.send(frame)

    async def _send_data(self, data: bytes, *, end: bool) -> None:
        frame = self.link.new_frame()
        body = frame.init("responseData")
        body.id = self.number
        body.data = data
        body.end = end
        self.link.send(frame)
        try:
            await self.link.writer.drain()
        except ConnectionError:
            raise LinkClosedError from None


def parse_relayed(frame: dict) -> Request:
    """Return the request of a relay frame."""
    body = frame["request"]
    now = asyncio.get_running_loop().time()
    resume = None
    if body["resume"]:
        resume = ResumeQuery(body["incarnation"], now - body["ageMs"] / SECONDS_TO_MS)
    return Request(
        method=body["method"],
        path=body["path"],
        headers=_headers_of(body),
        body=body.get("body", b""),
        deadline=now + body["remainingMs"] / SECONDS_TO_MS,
        key=body.get("key", ""),
        resume=resume,
        is_relayed=True,
    )


async def answer_relayed(link: Link, frame: dict, execute) -> None:
    """Run a sibling's request and write the answer or the failure.

    Parameters
    ----------
    link : Link
    frame : dict
    execute : callable
        Coroutine function called with the request and a sink.
    """
    sink = LinkSink(link, frame["request"]["id"])
    try:
        await execute(parse_relayed(frame), sink)
    except RequestRefusedError as refusal:
        sink.fail(
            refusal.reason.value, not_run=True, retry_after_s=refusal.retry_after_s
        )
    except RequestError as error:
        sink.fail(str(error) or type(error).__name__, not_run=False)


def _raise_failure(failure: dict, sink: Sink) -> None:
    if failure["notRun"]:
        retry_after_s = failure["retryAfterMs"] / SECONDS_TO_MS
        raise RequestRefusedError(RefusalReason(failure["kind"]), retry_after_s)
    if sink.is_started:
        raise AnswerCutError
    raise OutcomeUnknownError(failure["kind"])


def _write_headers(body, headers: Headers) -> None:
    slots = body.init("headers", len(headers))
    for slot, (name, value) in zip(slots, headers, strict=True):
        slot.name = name
        slot.value = value


def _headers_of(body: dict) -> Headers:
    return [(item["name"], item["value"]) for item in body.get("headers", ())]
