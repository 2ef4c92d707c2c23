"""HTTP client of the platform's key-value store.

Lists the items below a prefix and watches for changes after a revision. Failures of the
connection, of HTTP and of decoding are raised as `StoreError`.
"""

import msgspec

from plantainyoke.network import Address, HttpClient, HttpError, Response

READ_TIMEOUT_S = 1.5  # the store answers in milliseconds, in slow phases in 0.3 s
EPOCH_HEADER = "store-era"  # the platform's name of the epoch
WATCH_MARGIN_S = 0.7  # for the answer to arrive after the wait of a watch has ended


class StoreError(Exception):
    """Base class of the errors of a call to the store."""


class StoreUnavailableError(StoreError):
    """The store did not answer in time, or answered with an error."""


class HistoryGoneError(StoreError):
    """The store has discarded the changes since the given revision."""


class Item(msgspec.Struct):
    """One key of the store, or its deletion.

    Attributes
    ----------
    key : str
    revision : int
        Revision of the key's last change.
    value : str
        Content in standard base64; empty for a deletion.
    deleted : bool
        Whether the key was deleted.
    """

    key: str
    revision: int
    value: str = ""
    deleted: bool = False


class _Page(msgspec.Struct, rename="camel"):
    items: list[Item]
    has_more: bool
    current_rev: int


class _Events(msgspec.Struct, rename="camel"):
    events: list[Item]
    current_rev: int


class Listing(msgspec.Struct, frozen=True):
    """Items below a prefix: all of them, or those that changed.

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

    async def list(self, prefix: str) -> Listing:
        """Return all items below a prefix.

        The pages of an answer are not one consistent snapshot. The listing therefore
        has the revision of its first page: a watch from there repeats the changes that
        the later pages may lack.

        Raises
        ------
        StoreUnavailableError
            If the store does not answer in time, or answers with an error.
        """
        items: list[Item] = []
        revision = epoch = 0
        after = ""
        while True:
            path = f"/api/kv-range?prefix={_quote(prefix)}"
            if after:
                path += f"&after={_quote(after)}"
            page = await self._call(path, READ_TIMEOUT_S, _page_decoder)
            if after and self.epoch != epoch:
                items, after = [], ""  # the store was restored between two pages
                continue
            if not after:
                revision, epoch = page.current_rev, self.epoch
            items += page.items
            if not page.has_more or not page.items:
                return Listing(items, revision, epoch)
            after = page.items[-1].key

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
        StoreUnavailableError
            If the store does not answer in time, or answers with an error.
        """
        path = (
            f"/api/kv-watch?prefix={_quote(prefix)}&after={revision}"
            f"&waitMs={round(wait_s * 1000)}"
        )
        events = await self._call(path, wait_s + WATCH_MARGIN_S, _events_decoder)
        return Listing(events.events, events.current_rev, self.epoch)

    async def _call(self, path: str, timeout_s: float, decoder):
        self.calls += 1
        try:
            response = await self.http.get(path, timeout_s=timeout_s)
        except HttpError as error:
            raise StoreUnavailableError(str(error)) from error
        _check_status(response)
        self._record_epoch(response)
        try:
            return decoder.decode(response.body)
        except msgspec.MsgspecError as error:
            raise StoreUnavailableError(f"malformed answer: {error}") from error

    def _record_epoch(self, response: Response) -> None:
        stated = response.headers.get(EPOCH_HEADER, "0")
        if not stated.isdecimal():
            raise StoreUnavailableError(f"malformed epoch: {stated!r}")
        self.epoch = int(stated)


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
