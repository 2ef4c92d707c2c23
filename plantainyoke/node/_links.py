"""TCP links between processes, for relayed requests and configuration pulls.

A link carries requests in both directions; one task for each link reads its frames.
"""

import asyncio
import contextlib
import itertools
from collections.abc import Awaitable, Callable

from plantainyoke.network import (
    unpack_address,
)
from plantainyoke.telemetry import Metrics, log_event
from plantainyoke.wire import (
    FrameReader,
    FrameWriter,
    MessageAuthenticator,
    WireError,
    handshake_link,
)
from plantainyoke.wire._schema import schema

CONNECT_TIMEOUT_S = 1.0
LINK_FAILURES = (OSError, TimeoutError, asyncio.IncompleteReadError, WireError)

ServeFrame = Callable[["Link", dict], Awaitable[None]]


class LinkClosedError(Exception):
    """The peer is unreachable, or the link closed before the answer was complete."""


class Link:
    """One end of a TCP link.

    An answer goes to the queue of the local requester, by request number. Each request
    from the peer is served in a separate task, which a ``cancel`` frame cancels.

    Parameters
    ----------
    reader, writer : FrameReader, FrameWriter
    serve : callable
        Coroutine function called with the link and each request frame.
    generation : callable
        Returns the generation to stamp on frames.

    Attributes
    ----------
    answer_queues : dict of int to asyncio.Queue
        Answer frames of open requests, by request number; None marks a closed link.
    serving_tasks : dict of int to asyncio.Task
        Tasks that serve the peer's requests.
    keyed_requests : set of int
        Those of ``serving_tasks`` whose request has an idempotency key.
    """

    def __init__(
        self,
        reader: FrameReader,
        writer: FrameWriter,
        serve: ServeFrame,
        generation: Callable[[], int],
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.serve = serve
        self.generation = generation
        self.request_numbers = itertools.count(1)
        self.answer_queues: dict[int, asyncio.Queue] = {}
        self.serving_tasks: dict[int, asyncio.Task] = {}
        self.keyed_requests: set[int] = set()
        self.is_closed = False

    def new_frame(self):
        """Return an empty frame stamped with the generation."""
        return schema.Frame.new_message(generation=self.generation())

    def send(self, frame) -> None:
        """Queue a frame for sending.

        Raises
        ------
        LinkClosedError
            If the link is closed.
        """
        if self.is_closed:
            raise LinkClosedError
        self.writer.write(frame)

    def open_request(self) -> tuple[int, asyncio.Queue]:
        """Return a new request number and the queue of its answer frames."""
        number = next(self.request_numbers)
        queue: asyncio.Queue = asyncio.Queue()
        self.answer_queues[number] = queue
        return number, queue

    def close_request(self, number: int) -> None:
        """Remove a request; answers that arrive later are dropped."""
        self.answer_queues.pop(number, None)

    async def run(self) -> None:
        """Read frames until the link closes."""
        try:
            while True:
                self._dispatch(await self.reader.read())
        except LINK_FAILURES:
            pass
        finally:
            self.close()

    def close(self) -> None:
        """Close the link and fail every open request.

        The peer's requests without an idempotency key are cancelled. Those with a key
        continue, so that the peer can resume them on a new link.
        """
        if self.is_closed:
            return
        self.is_closed = True
        self.writer.close()
        for queue in self.answer_queues.values():
            queue.put_nowait(None)
        for number, task in list(self.serving_tasks.items()):
            if number not in self.keyed_requests:
                task.cancel()

    def _dispatch(self, frame: dict) -> None:
        for kind in ("responseHead", "responseData", "failure", "document"):
            if kind in frame:
                queue = self.answer_queues.get(_request_number(frame, kind))
                if queue is not None:
                    queue.put_nowait(frame)
                return
        if "cancel" in frame:
            task = self.serving_tasks.get(frame["cancel"])
            if task is not None:
                task.cancel()
            return
        self._serve(frame)

    def _serve(self, frame: dict) -> None:
        number = frame["request"]["id"] if "request" in frame else id(frame)
        task = asyncio.get_running_loop().create_task(self.serve(self, frame))
        self.serving_tasks[number] = task
        if frame.get("request", {}).get("key"):
            self.keyed_requests.add(number)
        task.add_done_callback(lambda _: self._remove_task(number))

    def _remove_task(self, number: int) -> None:
        self.serving_tasks.pop(number, None)
        self.keyed_requests.discard(number)


def _request_number(frame: dict, kind: str) -> int:
    return frame[kind]["id"]


class LinkPool:
    """Accepts links from peers and keeps at most one outgoing link to each peer.

    Parameters
    ----------
    authenticator : MessageAuthenticator
    generation : callable
        Returns the generation to stamp on frames.
    is_peer_allowed : callable
        Returns whether packets may be sent to a packed address.
    metrics : Metrics

    Attributes
    ----------
    links : dict of int to Link
        Links that this process opened, by packed address of the peer.
    accepted : set of Link
        Open links that peers opened.
    pull_handler, request_handler : callable, optional
        Coroutine functions that serve pulls and relayed requests.
    """

    def __init__(
        self,
        authenticator: MessageAuthenticator,
        generation: Callable[[], int],
        is_peer_allowed: Callable[[int], bool],
        metrics: Metrics,
    ) -> None:
        self.authenticator = authenticator
        self.generation = generation
        self.is_peer_allowed = is_peer_allowed
        self.metrics = metrics
        self.links: dict[int, Link] = {}
        self.connecting: dict[int, asyncio.Task] = {}
        self.tasks: set[asyncio.Task] = set()
        self.accepted: set[Link] = set()
        self.pull_handler: ServeFrame | None = None
        self.request_handler: ServeFrame | None = None
        self.server: asyncio.Server | None = None

    async def listen(self, address: tuple[str, int]) -> None:
        """Accept links on a TCP address."""
        self.server = await asyncio.start_server(self._accept, *address)

    async def connect(self, peer: int) -> Link:
        """Return the link to a peer; connect if there is none.

        Raises
        ------
        LinkClosedError
            If the peer cannot be reached or is in a zone out of service.
        """
        link = self.links.get(peer)
        if link is not None and not link.is_closed:
            return link
        if not self.is_peer_allowed(peer):
            self.metrics.count("link.zone_out")
            raise LinkClosedError
        task = self.connecting.get(peer)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._connect(peer))
            self.connecting[peer] = task
            task.add_done_callback(lambda _: self.connecting.pop(peer, None))
        return await asyncio.shield(task)

    def close_disallowed(self) -> None:
        """Close the links to peers that must no longer receive packets."""
        for peer, link in list(self.links.items()):
            if not self.is_peer_allowed(peer):
                link.close()
                del self.links[peer]

    async def aclose(self) -> None:
        """Stop accepting and close every link."""
        if self.server is not None:
            self.server.close()
        for link in [*self.links.values(), *self.accepted]:
            link.close()
        for task in [*self.tasks, *self.connecting.values()]:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _connect(self, peer: int) -> Link:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*unpack_address(peer))
                frames = await handshake_link(
                    reader, writer, self.authenticator, initiator=True
                )
        except LINK_FAILURES as error:
            self.metrics.count("link.connect_failed")
            raise LinkClosedError from error
        link = Link(*frames, self._serve, self.generation)
        self.links[peer] = link
        self._start_task(link.run())
        return link

    async def _accept(self, reader, writer) -> None:
        try:
            frames = await handshake_link(
                reader, writer, self.authenticator, initiator=False
            )
        except LINK_FAILURES:
            self.metrics.count("link.accept_failed")
            writer.close()
            return
        link = Link(*frames, self._serve, self.generation)
        self.accepted.add(link)
        try:
            await link.run()
        except asyncio.CancelledError:
            link.close()
        finally:
            self.accepted.discard(link)

    async def _serve(self, link: Link, frame: dict) -> None:
        handler = self.pull_handler if "pull" in frame else self.request_handler
        if handler is None or not ("pull" in frame or "request" in frame):
            self.metrics.count("link.unexpected_frame")
            return
        try:
            with contextlib.suppress(LinkClosedError):
                await handler(link, frame)
        except Exception as error:  # a fault in one request must not close the link
            self.metrics.count("link.serve_failed")
            log_event("link_serve_failed", error=repr(error))

    def _start_task(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
