"""Links over which processes pass the catalogue on.

A subscriber gets what it lacks, then each change, and at least every
``ALIVE_INTERVAL_S`` a sign of life that says how old the sender's view is.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import AsyncExitStack, suppress

import msgspec

from plantainyoke.catalogue._catalogue import Catalogue
from plantainyoke.catalogue._types import CatalogueChange
from plantainyoke.network import Address, serve_connections
from plantainyoke.telemetry import Metrics, log_event

ALIVE_INTERVAL_S = 0.5
CONNECT_TIMEOUT_S = 0.4  # round trips across zones take some 10 ms
RECENT_CHANGES = 64  # half a minute of a release; who lacks more gets everything
MAX_SUBSCRIBERS = 128  # eight times the fanout of the tree of sources
LENGTH_SIZE = 4
MAX_FRAME_SIZE = 64 * 1024 * 1024  # a snapshot of 55,000 targets has 10 MB
MAX_PENDING_SIZE = 2 * MAX_FRAME_SIZE  # unsent bytes at which a subscriber is dropped


class LinkError(Exception):
    """The link broke, or its peer sent something else than a frame."""


class Subscribe(msgspec.Struct, frozen=True):
    """First frame of a subscriber.

    Attributes
    ----------
    revision : int
        What the subscriber has; older news are of no use to it.
    """

    revision: int


class CatalogueFrame(msgspec.Struct, frozen=True):
    """One frame of a source.

    Attributes
    ----------
    age_ms : int
        Time since the store confirmed the sender's view.
    change : CatalogueChange or None
    """

    age_ms: int
    change: CatalogueChange | None = None


_encoder = msgspec.msgpack.Encoder()
_subscribe_decoder = msgspec.msgpack.Decoder(Subscribe)
_frame_decoder = msgspec.msgpack.Decoder(CatalogueFrame)


def encode_catalogue_frame(content: Subscribe | CatalogueFrame) -> bytes:
    """Return a frame with its length."""
    body = _encoder.encode(content)
    return len(body).to_bytes(LENGTH_SIZE, "big") + body


async def _read_body(reader: asyncio.StreamReader) -> bytes:
    size = int.from_bytes(await reader.readexactly(LENGTH_SIZE), "big")
    if size > MAX_FRAME_SIZE:
        raise LinkError(f"frame of {size} bytes")
    return await reader.readexactly(size)


async def read_frame(reader: asyncio.StreamReader) -> CatalogueFrame:
    """Return the next frame of a source.

    Raises
    ------
    LinkError
    """
    try:
        return _frame_decoder.decode(await _read_body(reader))
    except (msgspec.MsgspecError, OSError, asyncio.IncompleteReadError) as error:
        raise LinkError(type(error).__name__) from error


async def open_subscription(
    address: Address, revision: int
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to a source and subscribe.

    Raises
    ------
    LinkError
    """
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address)
    except (OSError, TimeoutError) as error:
        raise LinkError(type(error).__name__) from error
    writer.write(encode_catalogue_frame(Subscribe(revision)))
    return reader, writer


class CatalogueServer:
    """Serves the catalogue to subscribers.

    Parameters
    ----------
    catalogue : Catalogue
    age_s : callable
        Returns the time since the store confirmed the view.
    metrics : Metrics
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
        self.subscribers: dict[asyncio.StreamWriter, int] = {}
        self.recent: deque[CatalogueChange] = deque(maxlen=RECENT_CHANGES)

    async def listen(self, address: Address, stack: AsyncExitStack) -> None:
        """Accept subscribers until the stack closes."""
        await serve_connections(self._serve, address, stack, metrics=self.metrics)
        stack.callback(self._close_all)

    def publish(self, change: CatalogueChange) -> None:
        """Send a change to every subscriber, but those that know more."""
        self.recent.append(change)
        for writer, revision in list(self.subscribers.items()):
            if revision < 0:
                continue
            with suppress(LinkError):  # its task sees the closed link and ends
                self._send_missing(writer, revision)

    def announce_age(self) -> None:
        """Tell every subscriber at once how old the view is."""
        for writer in list(self.subscribers):
            with suppress(LinkError):
                self._write(writer, CatalogueFrame(self._age_ms()))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                request = _subscribe_decoder.decode(await _read_body(reader))
            if len(self.subscribers) >= MAX_SUBSCRIBERS:
                # In a start of everything all processes know the same seeds; who is
                # sent away tries its next source.
                raise LinkError("too many subscribers")
            self.subscribers[writer] = -1
            self._send_missing(writer, request.revision)
            while not writer.is_closing():
                await asyncio.sleep(ALIVE_INTERVAL_S)
                self._send_alive(writer, request.revision)
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
            writer.close()

    def _send_missing(self, writer: asyncio.StreamWriter, known: int) -> None:
        """Send what a subscriber lacks, nothing if it knows more.

        Load pattern: each target that comes or goes changes the ranking, and many
        processes turn to another source, though they lack a change or two at most.
        """
        changes = self._changes_after(known)
        if changes is None:
            self._write(writer, CatalogueFrame(self._age_ms()))
            return
        for change in changes:
            self._write(writer, CatalogueFrame(self._age_ms(), change))
        if not changes:
            self._write(writer, CatalogueFrame(self._age_ms()))
        self.subscribers[writer] = changes[-1].revision if changes else known

    def _changes_after(self, known: int) -> list[CatalogueChange] | None:
        """Return the changes after a revision, None if that is not reached here."""
        revision = self.catalogue.revision
        if not revision or revision < known:
            return None
        if revision == known:
            return []
        missing = [change for change in self.recent if change.revision > known]
        if known and missing and missing[0].since <= known:
            return missing
        return [self.catalogue.snapshot()]

    def _send_alive(self, writer: asyncio.StreamWriter, wanted: int) -> None:
        if self.subscribers.get(writer, -1) < 0:
            self._send_missing(writer, wanted)
        else:
            self._write(writer, CatalogueFrame(self._age_ms()))

    def _write(self, writer: asyncio.StreamWriter, frame: CatalogueFrame) -> None:
        if writer.is_closing():
            raise LinkError("closed")
        if writer.transport.get_write_buffer_size() > MAX_PENDING_SIZE:
            writer.transport.abort()
            raise LinkError("subscriber does not read")
        writer.write(encode_catalogue_frame(frame))

    def _age_ms(self) -> int:
        return round(min(self.age_s(), 1e6) * 1000)

    def _close_all(self) -> None:
        for writer in list(self.subscribers):
            with suppress(OSError):
                writer.transport.abort()
