"""Reader of the platform's store that returns catalogue updates.

Translates the store's keys into routes, targets and zones of the product, first as a
snapshot, then as changes. A malformed entry is logged and does not stop the reading.
"""

from plantainyoke.catalogue import Position, StoreUpdate
from plantainyoke.network import Address
from plantainyoke.platform._entries import (
    CONFIGURATION_KEY,
    TARGET_PREFIX,
    ZONE_OUT_PREFIX,
    EntryError,
    decode_value,
    parse_target,
    read_configuration,
)
from plantainyoke.platform._store import (
    AnswerTooLargeError,
    HistoryGoneError,
    Item,
    Listing,
    StoreClient,
)
from plantainyoke.telemetry import log_event

ALL_KEYS = ""
WATCH_WAIT_S = 2.0  # two thirds of the time within which a change must be in force


class PlatformReader:
    """Reads all entries of the store, or the changes after a position.

    Parameters
    ----------
    address : Address
        Address of the platform's store.

    Attributes
    ----------
    store : StoreClient
    """

    def __init__(self, address: Address) -> None:
        self.store = StoreClient(address)

    @property
    def calls(self) -> int:
        """Number of calls to the store so far, failed ones included."""
        return self.store.calls

    @property
    def is_receiving(self) -> bool:
        """Whether a part of an answer has arrived, and the rest is expected."""
        return self.store.http.is_receiving

    def close(self) -> None:
        """Close the connection to the store."""
        self.store.close()

    async def read(self, after: Position) -> StoreUpdate:
        """Return what was written after a position, or a snapshot.

        The answer is a snapshot if the position has the revision 0, if the store
        discarded the history since, if the changes are too large, or if it was restored
        from a copy: revisions are then given out again, and a watch may miss changes
        without an error.

        Parameters
        ----------
        after : Position

        Returns
        -------
        StoreUpdate

        Raises
        ------
        StoreUnavailableError
            If the store does not answer in time, or answers with an error.
        """
        if after.revision:
            try:
                changed = await self.store.watch(ALL_KEYS, after.revision, WATCH_WAIT_S)
                if changed.epoch == after.epoch:
                    update = StoreUpdate(changed.revision, False, epoch=changed.epoch)
                    _apply_items(changed, update)
                    return update
            except HistoryGoneError:
                log_event("store_history_gone", revision=after.revision)
            except AnswerTooLargeError as error:
                # Many versions of a large configuration, of which only the last counts.
                log_event(
                    "store_history_large", revision=after.revision, error=str(error)
                )
        update = await self._read_snapshot()
        if after.revision and update.epoch != after.epoch:
            log_event(
                "store_restored",
                epoch=update.epoch,
                revision=update.revision,
                known_epoch=after.epoch,
                known_revision=after.revision,
            )
        return update

    async def _read_snapshot(self) -> StoreUpdate:
        """Return everything that exists; each page is translated when it arrives.

        Pages of an earlier epoch are dropped if the store is restored meanwhile.
        """
        update = None
        async for page in self.store.list_pages(ALL_KEYS):
            if update is None or page.epoch != update.epoch:
                update = StoreUpdate(page.revision, True, epoch=page.epoch)
            _apply_items(page, update)
        return update


def _apply_items(listing: Listing, update: StoreUpdate) -> None:
    for item in listing.items:
        try:
            _apply_item(item, update)
        except EntryError as error:
            log_event("entry_unusable", key=item.key, error=str(error))


def _apply_item(item: Item, update: StoreUpdate) -> None:
    key = item.key
    if key.startswith(TARGET_PREFIX):
        _apply_target(key[len(TARGET_PREFIX) :], item, update)
    elif key.startswith(ZONE_OUT_PREFIX):
        zone = key[len(ZONE_OUT_PREFIX) :]
        (update.zones_restored if item.deleted else update.zones_out).add(zone)
        (update.zones_out if item.deleted else update.zones_restored).discard(zone)
    elif key == CONFIGURATION_KEY and not item.deleted:
        update.configuration = read_configuration(
            decode_value(item.value),
            lambda place, error: log_event(
                "entry_unusable", key=key, place=place, error=error
            ),
        )


def _apply_target(name: str, item: Item, update: StoreUpdate) -> None:
    # A target whose entry is malformed stays in the removed ones.
    update.targets.pop(name, None)
    update.removed.add(name)
    if item.deleted:
        return
    update.targets[name] = parse_target(name, decode_value(item.value))
    update.removed.discard(name)
