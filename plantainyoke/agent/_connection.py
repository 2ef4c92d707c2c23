"""One caller's QUIC connection: HTTP/3 streams and their requests.

Reads requests from the streams, passes them to the dispatcher and, when a request does
not end with an answer, reports to the caller whether it ran.
"""

import asyncio

from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic.events import (
    HandshakeCompleted,
    ProtocolNegotiated,
    QuicEvent,
    StopSendingReceived,
    StreamReset,
)

from plantainyoke.agent._dispatch import Dispatcher
from plantainyoke.agent._messages import (
    AnswerCutError,
    AnswerNotKeptError,
    KeyReusedError,
    Request,
    RequestError,
)
from plantainyoke.agent._request_headers import (
    MalformedRequestError,
    PartialRequest,
    build_request,
    parse_resume,
    parse_session,
)
from plantainyoke.agent._stream_sink import StreamSink
from plantainyoke.limits import RefusalReason, RequestRefusedError
from plantainyoke.network import (
    Address,
)
from plantainyoke.quic import (
    H3_INTERNAL_ERROR,
    H3_REQUEST_REJECTED,
    ConnectionDriver,
    GoawayH3Connection,
    RoutedQuicConnection,
)
from plantainyoke.telemetry import Metrics, log_event

MAX_BODY_BYTES = 1_000_000
OUTCOME_HEADER = b"plantainyoke-outcome"


class AgentConnection:
    """A connection of a caller to this agent.

    Parameters
    ----------
    quic : RoutedQuicConnection
    send : callable
        Called with ``(datagram, caller)``.
    dispatcher : Dispatcher
    metrics : Metrics
    incarnation : int
        Incarnation of the agent, sent in the HTTP/3 SETTINGS.
    check_epoch : callable
        Called with ``(connection, epoch, resumes)``; returns whether the
        connection may still start requests of its session.

    Attributes
    ----------
    created_at : float
        Loop time of its first datagram.
    balancer : int
        Packed address of the balancer that receives the answers.
    is_established : bool
        Whether the handshake is complete.
    is_fenced : bool
        Whether a newer connection of the same session has fenced this one, which
        may then start no more requests.
    session, epoch : bytes, int
        Session of the caller and the number of this connection in it.
    issued_ids : list of bytes
        Connection IDs that the agent issued for this connection.
    """

    def __init__(
        self,
        *,
        quic: RoutedQuicConnection,
        send,
        dispatcher: Dispatcher,
        metrics: Metrics,
        incarnation: int,
        check_epoch,
    ) -> None:
        self.quic = quic
        self.driver = ConnectionDriver(
            quic, send, self._handle_event, lambda: quic.has_authentic_initial
        )
        self.dispatcher = dispatcher
        self.metrics = metrics
        self.incarnation = incarnation
        self.check_epoch = check_epoch
        self.loop = asyncio.get_running_loop()
        self.created_at = self.loop.time()
        self.balancer = 0
        self.h3: GoawayH3Connection | None = None
        self.partial_requests: dict[int, PartialRequest] = {}
        self.tasks: dict[int, asyncio.Task] = {}
        self.requests: dict[int, Request] = {}
        self.last_stream_id = 0
        self.is_established = False
        self.is_fenced = False
        self.session = b""
        self.epoch = 0
        self.issued_ids: list[bytes] = []

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended and can send nothing."""
        return self.driver.is_terminated

    def receive_datagram(self, datagram: bytes, source: Address) -> None:
        """Queue a datagram of the caller; drop it if the inbox is full."""
        if not self.driver.receive_datagram(datagram, source):
            self.metrics.count("drop.inbox_full")

    @property
    def is_leaving(self) -> bool:
        """Whether GOAWAY was sent, or HTTP/3 is not negotiated yet."""
        return self.h3 is None or self.h3.goaway_sent

    @property
    def has_only_watches(self) -> bool:
        """Whether every request in flight is a watch."""
        return all(request.is_watch for request in self.requests.values())

    async def run(self) -> None:
        """Drive the connection until it ends."""
        try:
            await self.driver.run()
        finally:
            self._end_requests()

    def send_goaway(self) -> None:
        """Ask the caller to move to another connection."""
        if self.h3 is None or self.is_closed:
            return
        self.h3.send_goaway(self.last_stream_id + 4)
        self.driver.wake()

    def close(self, error_code: int, reason: str) -> None:
        """Close the connection."""
        if not self.is_closed:
            self.quic.close(error_code=error_code, reason_phrase=reason)
            self.driver.wake()

    def _handle_event(self, event: QuicEvent) -> None:
        if isinstance(event, ProtocolNegotiated):
            self.h3 = GoawayH3Connection(self.quic, incarnation=self.incarnation)
        if isinstance(event, HandshakeCompleted):
            self.is_established = True
        if isinstance(event, StreamReset | StopSendingReceived):
            self._cancel_request(event.stream_id)
        if self.h3 is not None:
            for h3_event in self.h3.handle_event(event):
                self._handle_h3_event(h3_event)

    def _handle_h3_event(self, event: H3Event) -> None:
        if isinstance(event, HeadersReceived):
            self.partial_requests[event.stream_id] = PartialRequest(event.headers)
            self.last_stream_id = max(self.last_stream_id, event.stream_id)
        elif isinstance(event, DataReceived):
            partial = self.partial_requests.get(event.stream_id)
            if partial is None:
                return
            partial.body += event.data
            if len(partial.body) > MAX_BODY_BYTES:
                del self.partial_requests[event.stream_id]
                self._refuse(
                    event.stream_id, RequestRefusedError(RefusalReason.TOO_LARGE)
                )
                return
        if event.stream_ended and event.stream_id in self.partial_requests:
            partial = self.partial_requests.pop(event.stream_id)
            task = self.loop.create_task(self._serve(event.stream_id, partial))
            self.tasks[event.stream_id] = task
            task.add_done_callback(lambda _: self._remove_request(event.stream_id))

    async def _serve(self, stream_id: int, partial: PartialRequest) -> None:
        sink = StreamSink(self, stream_id)
        try:
            request = self._build_request(partial)
            self.requests[stream_id] = request
            await self.dispatcher.serve(request, sink)
        except MalformedRequestError:
            self._refuse(stream_id, RequestRefusedError(RefusalReason.MALFORMED))
        except RequestRefusedError as refusal:
            self._refuse(stream_id, refusal)
        except KeyReusedError:
            self.metrics.count("refusal.key_reused")
            self._send_outcome(stream_id, 422, "not-run", "key_reused")
        except AnswerNotKeptError:
            self._send_outcome(stream_id, 502, "ran", "answer_not_kept")
        except RequestError as error:
            self._send_unknown_outcome(stream_id, sink, error)
        except Exception as error:
            # An unexpected error must not leave the caller without an outcome.
            self.metrics.count("request.fault")
            log_event("request_fault", error=repr(error))
            self._send_unknown_outcome(stream_id, sink, error)

    def _build_request(self, partial: PartialRequest) -> Request:
        session_and_epoch = parse_session(partial.headers)
        resume = parse_resume(partial.headers, self.created_at)
        if session_and_epoch is not None:
            self.session, self.epoch = session_and_epoch
            if not self.check_epoch(self, self.epoch, resume is not None):
                raise RequestRefusedError(RefusalReason.FENCED)
        now = self.loop.time()
        max_timeout_s = self.dispatcher.request_timeout_s
        request = build_request(partial, resume, now=now, max_timeout_s=max_timeout_s)
        # After a pause the arrival time is unknown: assume the earliest possible one.
        request.deadline -= self.dispatcher.pause_detector.backlog_age_s(now)
        return request

    def _refuse(self, stream_id: int, refusal: RequestRefusedError) -> None:
        self.metrics.count(f"refusal.sent.{refusal.reason.value}")
        status = STATUS_BY_REASON.get(refusal.reason, 503)
        self._send_outcome(
            stream_id,
            status,
            "not-run",
            refusal.reason.value,
            retry_after_s=refusal.retry_after_s,
        )

    def _send_unknown_outcome(self, stream_id: int, sink: StreamSink, error) -> None:
        if sink.is_started or isinstance(error, AnswerCutError):
            self.metrics.count("outcome.cut")
            self._reset(stream_id)
            return
        self.metrics.count("outcome.unknown")
        cause = str(error) or type(error).__name__
        status = 504 if cause == "timeout" else 502
        self._send_outcome(stream_id, status, "unknown", cause)

    def _send_outcome(
        self,
        stream_id: int,
        status: int,
        outcome: str,
        cause: str,
        *,
        retry_after_s: float | None = None,
    ) -> None:
        """Send an empty answer that reports how the request ended (RFC 9209)."""
        request = self.requests.get(stream_id)
        log_event(
            "request_not_answered",
            outcome=outcome,
            cause=cause,
            key=request.key if request else None,
        )
        if self.is_closed:
            return
        headers = [
            (b":status", str(status).encode()),
            (OUTCOME_HEADER, outcome.encode()),
            (b"proxy-status", f'plantainyoke; details="{cause}"'.encode()),
            (b"content-length", b"0"),
        ]
        if retry_after_s is not None:
            headers.append((b"retry-after", f"{retry_after_s:.3f}".encode()))
        self.h3.send_headers(stream_id, headers, end_stream=True)
        self.driver.wake()

    def _reset(self, stream_id: int) -> None:
        if not self.is_closed:
            self.quic.reset_stream(stream_id, H3_INTERNAL_ERROR)
            self.driver.wake()

    def _cancel_request(self, stream_id: int) -> None:
        if self.partial_requests.pop(stream_id, None) is not None:
            self.quic.reset_stream(stream_id, H3_REQUEST_REJECTED)
        task = self.tasks.get(stream_id)
        if task is not None:
            self.metrics.count("request.cancelled")
            task.cancel()

    def _end_requests(self) -> None:
        """Cancel requests without a key; a caller may resume those with a key."""
        self.partial_requests.clear()
        for stream_id, task in list(self.tasks.items()):
            request = self.requests.get(stream_id)
            if request is None or not request.key:
                task.cancel()

    def _remove_request(self, stream_id: int) -> None:
        self.tasks.pop(stream_id, None)
        self.requests.pop(stream_id, None)


STATUS_BY_REASON = {
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.MALFORMED: 400,
    RefusalReason.DEADLINE_EXPIRED: 504,
}
