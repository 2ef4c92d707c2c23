"""Links over which processes send the catalogue to each other.

A subscriber receives the changes that it lacks, then each new change, and at least
every ``HEARTBEAT_INTERVAL_S`` a heartbeat with the age of the sender's view.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import AsyncExitStack, suppress

import msgspec

from plantainyoke.catalogue._catalogue import Catalogue
from plantainyoke.catalogue._types import CatalogueChange, Position
from plantainyoke.network import (
    Address,
    TransferDeadline,
    read_exactly,
    serve_connections,
)
from plantainyoke.telemetry import Metrics, log_event

HEARTBEAT_INTERVAL_S = 0.5
SOURCE_TIMEOUT_S = 3 * HEARTBEAT_INTERVAL_S  # longest silence of a source
CONNECT_TIMEOUT_S = 0.4  # round trips across zones take some 10 ms
# Half a minute of changes during a release. A subscriber that lacks more receives a
# snapshot.
MAX_RECENT_CHANGES = 64
MAX_SUBSCRIBERS = 128  # eight times the fanout of the tree of sources
LENGTH_BYTES = 4
MAX_FRAME_BYTES = 64 * 1024 * 1024  # a snapshot of 55,000 targets takes 10 MB
MAX_REQUEST_BYTES = 1024  # of a subscriber's first frame
# A subscriber with more unsent bytes gets nothing further until it has read them; it
# then gets what it lacks.
MAX_UNSENT_BYTES = 64 * 1024
BUSY_INTERVAL_S = 0.1  # until such a subscriber is tried again
SUBSCRIBER_TIMEOUT_S = 3.0  # longest time in which a subscriber reads nothing


class LinkError(Exception):
    """The link failed, or its peer sent something other than a frame."""


class Subscribe(msgspec.Struct, frozen=True):
    """First frame of a subscriber.

    Attributes
    ----------
    epoch, revision : int
        Position that the subscriber has reached; it needs only changes after this one.
    version : int
        Configuration version that the subscriber has.
    lacks_history : bool
        Whether it needs what the store may have lost in a restoration.
    """

    epoch: int = 0
    revision: int = 0
    version: int = 0
    lacks_history: bool = False

    @property
    def position(self) -> Position:
        """Position that the subscriber has reached."""
        return Position(self.epoch, self.revision)


class CatalogueFrame(msgspec.Struct, frozen=True):
    """One frame of a source.

    Attributes
    ----------
    age_ms : int
        Time since the store confirmed the sender's view.
    change : CatalogueChange or None
        None in a heartbeat.
    """

    age_ms: int
    change: CatalogueChange | None = None


_encoder = msgspec.msgpack.Encoder()
_subscribe_decoder = msgspec.msgpack.Decoder(Subscribe)
_frame_decoder = msgspec.msgpack.Decoder(CatalogueFrame)


def encode_catalogue_frame(content: Subscribe | CatalogueFrame) -> bytes:
    """Return an encoded frame after its length."""
    body = _encoder.encode(content)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


async def read_frame(
    reader: asyncio.StreamReader, deadline: TransferDeadline | None = None
) -> CatalogueFrame:
    """Return the next frame of a source.

    Parameters
    ----------
    reader : asyncio.StreamReader
    deadline : TransferDeadline, optional
        Records when the frame began to arrive. By default a new one that allows a
        silence of `SOURCE_TIMEOUT_S`.

    Raises
    ------
    TimeoutError
        If the source is silent or too slow.
    LinkError
        If the link closed or the frame is malformed or too large.
    """
    if deadline is None:
        now = asyncio.get_running_loop().time()
        deadline = TransferDeadline(SOURCE_TIMEOUT_S, now)
    try:
        return _frame_decoder.decode(
            await _read_body(reader, MAX_FRAME_BYTES, deadline)
        )
    except TimeoutError:
        raise
    except (msgspec.MsgspecError, OSError, asyncio.IncompleteReadError) as error:
        raise LinkError(type(error).__name__) from error


async def _read_body(
    reader: asyncio.StreamReader, max_bytes: int, deadline: TransferDeadline
) -> bytes:
    length = await read_exactly(reader, LENGTH_BYTES, deadline)
    size = int.from_bytes(length, "big")
    if size > max_bytes:
        raise LinkError(f"frame of {size} bytes exceeds the size limit")
    return await read_exactly(reader, size, deadline)


async def open_subscription(
    address: Address, request: Subscribe
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to a source and subscribe.

    Parameters
    ----------
    address : Address
    request : Subscribe
        What this process's catalogue has.

    Raises
    ------
    LinkError
        If the source is unreachable.
    """
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address)
    except (OSError, TimeoutError) as error:
        raise LinkError(type(error).__name__) from error
    writer.write(encode_catalogue_frame(request))
    return reader, writer


class CatalogueServer:
    """Serves the catalogue to subscribers.

    Parameters
    ----------
    catalogue : Catalogue
    age_s : callable
        Returns the age of the view to report.
    metrics : Metrics

    Attributes
    ----------
    subscribers : dict of StreamWriter to Subscribe
        What each subscriber has, including what was sent to it.
    recent_changes : deque of CatalogueChange
        Last changes since the last snapshot, the newest last.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        age_s: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self.metrics = metrics
        self.catalogue = catalogue
        self.age_s = age_s
        self.subscribers: dict[asyncio.StreamWriter, Subscribe] = {}
        self.recent_changes: deque[CatalogueChange] = deque(maxlen=MAX_RECENT_CHANGES)

    async def listen(self, address: Address, stack: AsyncExitStack) -> None:
        """Accept subscribers until the stack closes."""
        await serve_connections(self._serve, address, stack, metrics=self.metrics)
        stack.callback(self._close_all)

    def publish(self, change: CatalogueChange) -> None:
        """Send a change to every subscriber that isn't ahead of this catalogue."""
        if not change.since:
            self.recent_changes.clear()
        else:
            self.recent_changes.append(change)
        for writer in list(self.subscribers):
            with suppress(LinkError):  # its task sees the closed link and ends
                self._send_missing_changes(writer)

    def broadcast_age(self) -> None:
        """Send the age of the view to every subscriber at once."""
        for writer in list(self.subscribers):
            with suppress(LinkError):
                if not _is_busy(writer):
                    self._write(writer, CatalogueFrame(self._get_age_ms()))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            now = asyncio.get_running_loop().time()
            deadline = TransferDeadline(CONNECT_TIMEOUT_S, now)
            body = await _read_body(reader, MAX_REQUEST_BYTES, deadline)
            request = _subscribe_decoder.decode(body)
            if len(self.subscribers) >= MAX_SUBSCRIBERS:
                # When all processes start at once, they know the same seeds. A process
                # that is refused tries its next source.
                raise LinkError("limit of subscribers reached")
            self.subscribers[writer] = request
            await self._send_heartbeats(writer)
        except (
            OSError,
            TimeoutError,
            LinkError,
            asyncio.IncompleteReadError,
            msgspec.MsgspecError,
        ) as error:
            log_event("subscriber_left", error=f"{type(error).__name__} {error}")
        finally:
            self.subscribers.pop(writer, None)
            writer.transport.abort()

    async def _send_heartbeats(self, writer: asyncio.StreamWriter) -> None:
        """Send what a subscriber lacks, or a heartbeat, until it leaves."""
        loop = asyncio.get_running_loop()
        unsent, read_at = 0, loop.time()
        while not writer.is_closing():
            if not self._send_missing_changes(writer):
                self._write(writer, CatalogueFrame(self._get_age_ms()))
            interval_s = BUSY_INTERVAL_S if _is_busy(writer) else HEARTBEAT_INTERVAL_S
            await asyncio.sleep(interval_s)
            before, unsent = unsent, writer.transport.get_write_buffer_size()
            if unsent < before or not unsent:
                read_at = loop.time()
            elif loop.time() - read_at > SUBSCRIBER_TIMEOUT_S:
                raise LinkError("subscriber reads nothing")

    def _send_missing_changes(self, writer: asyncio.StreamWriter) -> bool:
        """Send the changes that a subscriber lacks; return whether there were any.

        Load pattern: each target that joins or leaves changes the ranking, and many
        processes change their source though they lack a change or two at most. They
        receive these changes rather than a snapshot. A subscriber over a slow link
        receives one batch at a time: what is published meanwhile may replace it.
        """
        if _is_busy(writer):
            return True
        now = asyncio.get_running_loop().time()
        changes = self.list_changes_after(self.subscribers[writer], now)
        for change in changes:
            self._write(writer, CatalogueFrame(self._get_age_ms(), change))
        if changes:
            self.subscribers[writer] = record_sent(self.subscribers[writer], changes)
        return bool(changes)

    def list_changes_after(self, known: Subscribe, now: float) -> list[CatalogueChange]:
        """Return the changes that a subscriber lacks, none if it is ahead.

        A subscriber that cannot apply the recent changes receives a snapshot: it has
        another configuration version than these build on, since it followed another
        source before, or a position of an earlier epoch, of which the number of the
        revision says nothing after a restoration of the store. So does a subscriber
        that is ahead, but lacks what the store has lost, and one to which the changes
        would be larger: it lacks many versions of a large configuration.
        """
        catalogue = self.catalogue
        if not catalogue.revision:
            return []
        if catalogue.position <= known.position:
            return [catalogue.snapshot(now)] if self._knows_more(known) else []
        missing = [
            change for change in self.recent_changes if change.position > known.position
        ]
        needs_all = known.lacks_history and self._keeps_lost_state()
        version = catalogue.configuration.version
        is_smaller = sum(map(_count_entries, missing)) <= self._count_all_entries()
        if (
            missing
            and not needs_all
            and is_smaller
            and _can_apply(missing, known, version)
        ):
            return missing
        return [catalogue.snapshot(now)]

    def _count_all_entries(self) -> int:
        """Return the number of entries of a snapshot."""
        catalogue = self.catalogue
        return (
            len(catalogue.routes) + len(catalogue.services) + len(catalogue.targets) + 1
        )

    def _knows_more(self, known: Subscribe) -> bool:
        """Return whether a subscriber lacks something although it is not behind."""
        catalogue = self.catalogue
        is_earlier_epoch = catalogue.epoch < known.epoch
        if not is_earlier_epoch and catalogue.position < known.position:
            return False
        if catalogue.configuration.version > known.version:
            return True
        return known.lacks_history and (is_earlier_epoch or self._keeps_lost_state())

    def _keeps_lost_state(self) -> bool:
        """Return whether the view has what the store lost in a restoration."""
        return self.catalogue.is_unconfirmed and not self.catalogue.lacks_history

    def _write(self, writer: asyncio.StreamWriter, frame: CatalogueFrame) -> None:
        if writer.is_closing():
            raise LinkError("link is closed")
        writer.write(encode_catalogue_frame(frame))

    def _get_age_ms(self) -> int:
        return round(min(self.age_s(), 1e6) * 1000)

    def _close_all(self) -> None:
        for writer in list(self.subscribers):
            with suppress(OSError):
                writer.transport.abort()


def _is_busy(writer: asyncio.StreamWriter) -> bool:
    """Return whether a subscriber has much to read before what is sent next."""
    return writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES


def _count_entries(change: CatalogueChange) -> int:
    """Return the number of entries of a change, which determine its size."""
    configuration = change.configuration
    routes = 0
    if configuration is not None:
        routes = len(configuration.routes) + len(configuration.services)
    return (
        routes
        + len(change.removed_routes)
        + len(change.targets)
        + len(change.removed)
        + 1
    )


def record_sent(known: Subscribe, changes: list[CatalogueChange]) -> Subscribe:
    """Return what a subscriber has after it received changes."""
    versions = [one.configuration.version for one in changes if one.configuration]
    return Subscribe(
        *max(known.position, changes[-1].position), max(known.version, *versions, 0)
    )


def _can_apply(
    changes: list[CatalogueChange], known: Subscribe, final_version: int
) -> bool:
    """Return whether changes lead a subscriber to a configuration version."""
    if not known.revision or not changes[0].builds_on(known.position):
        return False
    version = known.version
    for change in changes:
        received = change.configuration
        if received is not None and received.version > version:
            if change.version_since not in (0, version):
                return False
            version = received.version
    return version >= final_version
