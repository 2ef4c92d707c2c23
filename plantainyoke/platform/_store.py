"""HTTP client of the platform's key-value store.

Lists the items below a prefix and watches for changes after a revision. Failures of the
connection, of HTTP and of decoding are raised as `StoreError`.
"""

import re
from collections.abc import AsyncIterator
from typing import Annotated

import msgspec

from plantainyoke.network import (
    Address,
    BodyTooLargeError,
    HttpClient,
    HttpError,
    Response,
)
from plantainyoke.platform._configuration import MAX_INTEGER
from plantainyoke.telemetry import log_event

# Longest silence of the store during a call. It answers in milliseconds, in slow phases
# in 0.3 s; how long an answer takes to arrive depends on the link.
READ_TIMEOUT_S = 1.5
EPOCH_HEADER = "store-era"  # the platform's name of the epoch
EPOCH_PATTERN = re.compile("[0-9]{1,18}")  # fits the integers of 64 bits in messages
MAX_KEY_LENGTH = 200
WATCH_MARGIN_S = 0.7  # for the answer to arrive after the wait of a watch has ended

Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]


class StoreError(Exception):
    """Base class of the errors of a call to the store."""


class StoreUnavailableError(StoreError):
    """The store did not answer in time, or with something that is not an answer."""


class AnswerTooLargeError(StoreUnavailableError):
    """The answer exceeds the size that this process accepts."""


class HistoryGoneError(StoreError):
    """The store has discarded the changes since the given revision."""


class Item(msgspec.Struct):
    """One key of the store, or its deletion.

    Attributes
    ----------
    key : str
    value : str
        Content in standard base64; empty for a deletion.
    deleted : bool
        Whether the key was deleted.
    """

    key: Annotated[str, msgspec.Meta(max_length=MAX_KEY_LENGTH)]
    value: str = ""
    deleted: bool = False


# Items are decoded one by one, so that a malformed one does not take the others along.
class _Page(msgspec.Struct, rename="camel"):
    items: list[msgspec.Raw]
    has_more: bool
    current_rev: Revision


class _Events(msgspec.Struct, rename="camel"):
    events: list[msgspec.Raw]
    current_rev: Revision


class Listing(msgspec.Struct, frozen=True):
    """Items below a prefix: one page of them, or those that changed.

    Attributes
    ----------
    items : list of Item
    revision : int
        Revision after which to watch so that no change is missed.
    epoch : int
        Epoch to which the revision belongs.
    """

    items: list[Item]
    revision: int
    epoch: int


_page_decoder = msgspec.json.Decoder(_Page)
_events_decoder = msgspec.json.Decoder(_Events)
_item_decoder = msgspec.json.Decoder(Item)


class StoreClient:
    """Reads the store, one call at a time.

    Parameters
    ----------
    address : Address

    Attributes
    ----------
    calls : int
        Number of calls so far, failed ones included.
    epoch : int
        Epoch that the last answer stated, 0 if none. It rises when the store is
        restored from an older copy; revisions after the copy are then given out again.
    """

    def __init__(self, address: Address) -> None:
        self.http = HttpClient(address)
        self.calls = 0
        self.epoch = 0

    def close(self) -> None:
        """Close the connection to the store."""
        self.http.close()

    async def list_pages(self, prefix: str) -> AsyncIterator[Listing]:
        """Generate the pages of all items below a prefix.

        The pages are not one consistent snapshot. They all have the revision of the
        first one: a watch from there repeats the changes that the later pages may lack.
        If the store is restored between two pages, the listing starts anew with a page
        of the new epoch.

        Raises
        ------
        StoreUnavailableError
            If the store does not answer in time, or answers with an error.
        """
        revision = epoch = 0
        after = ""
        has_more = True
        while has_more:
            path = f"/api/kv-range?prefix={_quote(prefix)}"
            if after:
                path += f"&after={_quote(after)}"
            page = await self._call(path, READ_TIMEOUT_S, _page_decoder)
            if after and self.epoch != epoch:
                after = ""  # the store was restored between two pages
                continue
            if not after:
                revision, epoch = page.current_rev, self.epoch
            items = _decode_items(page.items)
            yield Listing(items, revision, epoch)
            has_more = page.has_more and bool(page.items)
            if has_more:
                after = _get_next_key(items, after)

    async def watch(self, prefix: str, revision: int, wait_s: float) -> Listing:
        """Return the items that changed after a revision.

        The store delays its answer until there is a change.

        Parameters
        ----------
        prefix : str
        revision : int
        wait_s : float
            Time after which the store answers without a change.

        Raises
        ------
        HistoryGoneError
            If the store has discarded the changes since the revision.
        AnswerTooLargeError
            If the changes exceed the size that this process accepts.
        StoreUnavailableError
            If the store does not answer in time, or answers with an error.
        """
        path = (
            f"/api/kv-watch?prefix={_quote(prefix)}&after={revision}"
            f"&waitMs={round(wait_s * 1000)}"
        )
        events = await self._call(path, wait_s + WATCH_MARGIN_S, _events_decoder)
        items = _decode_items(events.events)
        return Listing(items, events.current_rev, self.epoch)

    async def _call(self, path: str, timeout_s: float, decoder):
        self.calls += 1
        try:
            response = await self.http.get(
                path, timeout_s=timeout_s, silence_s=READ_TIMEOUT_S
            )
        except BodyTooLargeError as error:
            raise AnswerTooLargeError(str(error)) from error
        except HttpError as error:
            raise StoreUnavailableError(str(error)) from error
        _check_status(response)
        self._record_epoch(response)
        try:
            return decoder.decode(response.body)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise StoreUnavailableError(f"malformed answer: {error}") from error

    def _record_epoch(self, response: Response) -> None:
        stated = response.headers.get(EPOCH_HEADER, "0")
        if not EPOCH_PATTERN.fullmatch(stated):
            raise StoreUnavailableError(f"malformed epoch: {stated!r}")
        self.epoch = int(stated)


def _decode_items(encoded: list[msgspec.Raw]) -> list[Item]:
    """Return the well-formed items of an answer."""
    items = []
    for raw in encoded:
        try:
            items.append(_item_decoder.decode(raw))
        except (msgspec.MsgspecError, RecursionError) as error:
            log_event("item_unusable", error=str(error))
    return items


def _get_next_key(items: list[Item], after: str) -> str:
    """Return the key after which the next page of a listing begins."""
    last = max((item.key for item in items), default="")
    if last <= after:
        raise StoreUnavailableError("a page does not advance the listing")
    return last


def _quote(key: str) -> str:
    if not key:
        return ""
    from urllib.parse import quote  # imported late: a program without it starts sooner

    return quote(key, safe="")


def _check_status(response: Response) -> None:
    if response.status == 410:
        raise HistoryGoneError
    if response.status != 200:
        raise StoreUnavailableError(f"store answered with status {response.status}")
