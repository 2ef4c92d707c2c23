"""Relays requests between the agents of one service.

A request is relayed over one hop at most. The sibling runs the request and returns its
answer or the failure, which the relaying agent sends to the caller.
"""

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

        If the link breaks, a request with a key is resumed on a new link, by the
        same rule as a caller's resumed request.

        Parameters
        ----------
        sibling : int
            Packed address of the sibling.
        incarnation : int
            Incarnation that the sibling last reported.
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
                # The first attempt may have run before the sibling refused this one.
                raise OutcomeUnknownError("relay_lost") from None
            self.node.metrics.count("relay.resumed")
            return
        raise OutcomeUnknownError("relay_lost")

    async def _exchange(
        self, link: Link, request: Request, sink: Sink, resume: ResumeQuery | None
    ) -> None:
        request_id, queue = link.open_request()
        is_complete = False
        try:
            link.send(self._request_frame(link, request_id, request, resume))
            await link.writer.drain()
            await self._receive(queue, request, sink)
            is_complete = True
        except ConnectionError:
            raise LinkClosedError from None
        finally:
            link.close_request(request_id)
            if not is_complete and not link.is_closed:
                cancel = link.new_frame()
                cancel.cancel = request_id
                link.send(cancel)

    async def _receive(self, queue: asyncio.Queue, request: Request, sink) -> None:
        deadline = None if request.is_watch else request.deadline
        try:
            async with asyncio.timeout_at(deadline):
                while True:
                    frame = await queue.get()
                    if frame is None:
                        raise LinkClosedError
                    if await self._handle_frame(frame, sink):
                        return
        except TimeoutError:
            raise OutcomeUnknownError("timeout") from None

    async def _handle_frame(self, frame: dict, sink: Sink) -> bool:
        if "failure" in frame:
            _raise_failure(frame["failure"], sink)
        if "responseHead" in frame:
            head = frame["responseHead"]
            await sink.start(head["status"], _parse_headers(head))
            return False
        data = frame["responseData"]
        chunk = data.get("data", b"")
        if data["end"]:
            await sink.finish(chunk)
        else:
            await sink.write(chunk)
        return data["end"]

    def _request_frame(self, link: Link, request_id: int, request: Request, resume):
        now = asyncio.get_running_loop().time()
        frame = link.new_frame()
        body = frame.init("request")
        body.id = request_id
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
    """Writes an answer to the sibling that relayed the request.

    Parameters
    ----------
    link : Link
    request_id : int
        Number of the request on the link.

    Attributes
    ----------
    is_started : bool
        Whether the status and headers were sent.
    """

    def __init__(self, link: Link, request_id: int) -> None:
        self.link = link
        self.request_id = request_id
        self.is_started = False

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status and headers."""
        self.is_started = True
        frame = self.link.new_frame()
        head = frame.init("responseHead")
        head.id = self.request_id
        head.status = status
        _write_headers(head, headers)
        self.link.send(frame)

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body."""
        await self._send_data(data, end=False)

    async def finish(self, data: bytes = b"") -> None:
        """Send the last chunk and the end of the body."""
        await self._send_data(data, end=True)

    def send_failure(
        self, kind: str, *, not_run: bool, retry_after_s: float = 0.0
    ) -> None:
        """Send the reason why the answer is missing or incomplete.

        Parameters
        ----------
        kind : str
            Refusal reason or cause of the failure.
        not_run : bool
            Whether the request certainly did not run.
        retry_after_s : float, default=0.0
        """
        frame = self.link.new_frame()
        failure = frame.init("failure")
        failure.id = self.request_id
        failure.kind = kind
        failure.notRun = not_run
        failure.retryAfterMs = round(retry_after_s * SECONDS_TO_MS)
        self.link.send(frame)

    async def _send_data(self, data: bytes, *, end: bool) -> None:
        frame = self.link.new_frame()
        body = frame.init("responseData")
        body.id = self.request_id
        body.data = data
        body.end = end
        self.link.send(frame)
        try:
            await self.link.writer.drain()
        except ConnectionError:
            raise LinkClosedError from None


def parse_relayed_request(frame: dict) -> Request:
    """Return the request of a relay frame."""
    body = frame["request"]
    now = asyncio.get_running_loop().time()
    resume = None
    if body["resume"]:
        resume = ResumeQuery(body["incarnation"], now - body["ageMs"] / SECONDS_TO_MS)
    return Request(
        method=body["method"],
        path=body["path"],
        headers=_parse_headers(body),
        body=body.get("body", b""),
        deadline=now + body["remainingMs"] / SECONDS_TO_MS,
        key=body.get("key", ""),
        resume=resume,
        is_relayed=True,
    )


async def answer_relayed_request(link: Link, frame: dict, execute) -> None:
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
        await execute(parse_relayed_request(frame), sink)
    except RequestRefusedError as refusal:
        sink.send_failure(
            refusal.reason.value, not_run=True, retry_after_s=refusal.retry_after_s
        )
    except RequestError as error:
        sink.send_failure(str(error) or type(error).__name__, not_run=False)


def _raise_failure(failure: dict, sink: Sink) -> None:
    if failure["notRun"]:
        retry_after_s = failure["retryAfterMs"] / SECONDS_TO_MS
        raise RequestRefusedError(RefusalReason(failure["kind"]), retry_after_s)
    if sink.is_started:
        raise AnswerCutError
    raise OutcomeUnknownError(failure["kind"])


def _write_headers(body, headers: Headers) -> None:
    items = body.init("headers", len(headers))
    for item, (name, value) in zip(items, headers, strict=True):
        item.name = name
        item.value = value


def _parse_headers(body: dict) -> Headers:
    return [(header["name"], header["value"]) for header in body.get("headers", ())]
