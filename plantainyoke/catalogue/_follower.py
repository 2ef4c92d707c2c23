"""Keeps the catalogue of a process current with few calls to the store.

In each zone the agents are ranked by rendezvous hashing. The first of them reads the
store; the other processes subscribe to each other along a tree that follows the
ranking. A process whose view stays stale for longer than the delay of its rank reads
the store itself, so no election is needed. A process whose calls to the store fail may
also subscribe to agents ranked after it, which usually subscribe to it.
"""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

from plantainyoke.catalogue._catalogue import Catalogue
from plantainyoke.catalogue._change_builder import (
    OUTAGE_S,
    ChangeBuilder,
    StoreUpdate,
)
from plantainyoke.catalogue._ranking import ReaderRanking, plan_sources
from plantainyoke.catalogue._retention import add_missing_targets
from plantainyoke.catalogue._subscription import (
    SOURCE_TIMEOUT_S,
    CatalogueServer,
    LinkError,
    Subscribe,
    open_subscription,
    read_frame,
)
from plantainyoke.catalogue._types import CatalogueChange, Position
from plantainyoke.network import Address, TransferDeadline, format_host
from plantainyoke.telemetry import Metrics, log_event

MIN_READ_INTERVAL_S = 0.15  # changes in quick succession share a call
# Age from which a view is stale and another source is used. It exceeds the wait of a
# watch on the store, because a watch confirms the view only when it returns.
STALE_S = 3.0
FAILED_AGE_S = 1e6  # reported while this process neither reads nor follows a source
RANK_DELAY_STEP_S = 0.25  # added for each rank before a process reads the store
MAX_DELAY_RANK = 6
MAX_UNRANKED_SOURCES = 4  # tried regardless of rank while the store fails
SUBSCRIBE_RETRY_S = 0.3
# The store answers in milliseconds; if it doesn't, other processes may know more.
FIRST_READ_TIMEOUT_S = 0.3
PREFERRED_RETRY_S = 5.0  # time on a fallback source before the preferred is retried
ASK_TIMEOUT_S = 5.0  # longer than processes that start at the same time need
MIN_BACKOFF_S = 0.4  # delay after a first failed call to the store
MAX_BACKOFF_S = 2.0

Read = Callable[[Position], Awaitable[StoreUpdate]]


class CatalogueFollower:
    """Keeps a catalogue current from the store or from another process.

    Parameters
    ----------
    host : int
        Address of the process's host, as an integer.
    zone : int
        Identifier of the process's zone.
    catalogue : Catalogue
    read : callable
        Coroutine function that returns what was written to the store after a position,
        or a snapshot.
    store_errors : tuple of type
        Exceptions that ``read`` raises if the store fails.
    get_address : callable
        Returns the address of a host's catalogue server.
    seeds : sequence of int
        Hosts to subscribe to while no target is known.
    metrics : Metrics
    jitter : callable
        Returns a random factor around 1 for the backoff between calls to the store.
    is_receiving : callable, optional
        Returns whether an answer of the store is arriving. By default it never is.

    Attributes
    ----------
    confirmed_at : float
        Loop time at which the store last confirmed the view, to this process or to a
        source of it.
    source : int
        Host of the source in use, 0 for none.
    source_lost_at : float
        Loop time at which the last source was left; the start if there was none.
    is_failing : bool
        Whether the last call to the store failed.
    is_reader : bool
        Whether this process reads the store, by its rank and the age of its view.
    has_asked_process : bool
        Whether another process has answered since the start.
    ask_until : float
        Loop time until which it asks processes of any rank for an answer.
    loaded : asyncio.Event
        Set when the catalogue holds published state.
    first_read_done : asyncio.Event
        Set when the first call to the store has returned or failed.
    """

    def __init__(
        self,
        *,
        host: int,
        zone: int,
        catalogue: Catalogue,
        read: Read,
        store_errors: tuple[type[Exception], ...],
        get_address: Callable[[int], Address],
        seeds: tuple[int, ...],
        metrics: Metrics,
        jitter: Callable[[], float],
        is_receiving: Callable[[], bool] = lambda: False,
    ) -> None:
        self.host = host
        self.catalogue = catalogue
        self.read = read
        self.store_errors = store_errors
        self.get_address = get_address
        self.metrics = metrics
        self.jitter = jitter
        self.is_receiving = is_receiving
        self.change_builder = ChangeBuilder(catalogue)
        self.server = CatalogueServer(catalogue, self.reported_age_s, metrics)
        self.is_failing = False
        self.is_reader = True
        self.loaded = asyncio.Event()
        self.first_read_done = asyncio.Event()
        self.confirmed_at = float("-inf")
        self.ranking = ReaderRanking(catalogue, zone, seeds)
        self.source = 0
        self.confirmation: asyncio.TimerHandle | None = None
        self.loop = asyncio.get_running_loop()
        self.has_asked_process = False
        self.ask_until = self.loop.time() + ASK_TIMEOUT_S
        self.source_lost_at = self.loop.time()

    def age_s(self) -> float:
        """Return the time since the store confirmed the view."""
        return self.loop.time() - self.confirmed_at

    def record_pause(self, gap_s: float) -> None:
        """Add a pause to the view's age; the loop's clock may not have counted it."""
        self.confirmed_at -= gap_s

    def reported_age_s(self) -> float:
        """Return the age of the view to report to subscribers.

        A process that neither reads the store nor follows a source ranked before it
        reports `FAILED_AGE_S` at once, so that its subscribers change their source
        without waiting until the view is stale.
        """
        is_reading = self.is_reader and not self.is_failing
        return (
            self.age_s() if is_reading or self._follows_earlier_rank() else FAILED_AGE_S
        )

    def _follows_earlier_rank(self) -> bool:
        ranking = self.get_ranking()
        if self.source not in ranking:
            return False
        if self.host not in ranking:
            return True
        return ranking.index(self.source) < ranking.index(self.host)

    def get_ranking(self) -> list[int]:
        """Return the hosts that may read the store for the zone, in order of rank."""
        return self.ranking.list_hosts()

    def get_rank(self) -> int:
        """Return this process's position in the ranking, 0 for the first reader.

        It is at most `MAX_DELAY_RANK`, also for a process that isn't in the ranking.
        """
        ranking = self.get_ranking()
        if self.host in ranking:
            return min(ranking.index(self.host), MAX_DELAY_RANK)
        return MAX_DELAY_RANK

    def get_read_delay_s(self) -> float:
        """Return the time in seconds until this process reads the store itself.

        With a source, it waits until the view is stale and the delay of its rank has
        passed. Without one, that delay after the loss of the last source suffices: it
        lets processes ranked before this one begin.
        """
        rank = self.get_rank() if self.catalogue.revision else 0
        if rank == 0:
            return 0.0
        rank_delay_s = RANK_DELAY_STEP_S * rank
        stale_in_s = STALE_S + rank_delay_s - self.age_s()
        if self.source:
            return stale_in_s
        return min(stale_in_s, self.source_lost_at + rank_delay_s - self.loop.time())

    # Task that reads the store.

    async def run_reader(self) -> None:
        """Read the store whenever this process is a reader, until cancelled.

        If it ends by any other error than one of the store, the process is no source
        for others until a later run has read the store.
        """
        backoff_s = MIN_BACKOFF_S
        while True:
            await self._wait_for_turn()
            started = self.loop.time()
            try:
                update = await self.read(self.catalogue.position)
                self._record_success(update)
                self._apply_update(update)
            except self.store_errors as error:
                self.metrics.counters["store.failed"] += 1
                log_event(
                    "store_failed", error=str(error), age_s=self._get_rounded_age_s()
                )
                self._record_failure()
                await asyncio.sleep(backoff_s * self.jitter())
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
                continue
            except Exception:
                self._record_failure()
                raise
            backoff_s = MIN_BACKOFF_S
            spent = self.loop.time() - started
            await asyncio.sleep(max(0.0, MIN_READ_INTERVAL_S - spent))

    def _record_success(self, update: StoreUpdate) -> None:
        if self.is_failing:
            log_event("store_regained", revision=update.revision)
        self.is_failing = False
        self.first_read_done.set()

    def _record_failure(self) -> None:
        self.first_read_done.set()
        if not self.is_failing:
            self.is_failing = True
            self.server.broadcast_age()

    async def _wait_for_turn(self) -> None:
        while self.loaded.is_set():
            delay_s = self.get_read_delay_s()
            self.is_reader = delay_s <= 0
            if self.is_reader:
                return
            await asyncio.sleep(min(delay_s, RANK_DELAY_STEP_S))

    def _apply_update(self, update: StoreUpdate) -> None:
        now = self.loop.time()
        if update.epoch < self.catalogue.epoch:
            # The store answered before it was restored: nothing is confirmed.
            log_event(
                "store_answer_ignored",
                epoch=update.epoch,
                revision=update.revision,
                known_epoch=self.catalogue.epoch,
            )
            return
        change = self.change_builder.build_change(update, now)
        self.confirmed_at = now
        if change is not None:
            self._apply(change, source="store")
        self.loaded.set()

    def _apply(self, change: CatalogueChange, *, source: str) -> bool:
        """Apply a change; return whether the catalogue is now at least as new."""
        if not self.catalogue.apply(change, self.loop.time()):
            log_event(
                "change_ignored",
                source=source,
                epoch=change.epoch,
                since=change.since,
                revision=change.revision,
                version=change.configuration and change.configuration.version,
                known_epoch=self.catalogue.epoch,
                known_revision=self.catalogue.revision,
                known_version=self.catalogue.configuration.version,
            )
            return change.position <= self.catalogue.position
        log_event(
            "catalogue_changed",
            source=source,
            epoch=change.epoch,
            revision=change.revision,
            version=self.catalogue.configuration.version,
            targets=len(self.catalogue.targets),
            changed=len(change.targets),
            removed=len(change.removed),
            unconfirmed=len(self.catalogue.unconfirmed) or None,
            zones_out=",".join(sorted(self.catalogue.zones_out)) or None,
        )
        self.server.publish(change)
        self._schedule_confirmation()
        return True

    def _schedule_confirmation(self) -> None:
        """Adopt what the store has published once its writers had time to write."""
        due_at = self.catalogue.next_confirmation_at
        if due_at < float("inf") and self.confirmation is None:
            self.confirmation = self.loop.call_at(due_at, self._confirm)

    def _confirm(self) -> None:
        self.confirmation = None
        try:
            change = self.catalogue.confirm(self.loop.time())
        finally:
            self._schedule_confirmation()
        if change is not None:
            log_event(
                "catalogue_confirmed",
                epoch=change.epoch,
                revision=change.revision,
                targets=len(self.catalogue.targets),
                changed=len(change.targets),
                removed=len(change.removed),
                zones_out=",".join(sorted(self.catalogue.zones_out)) or None,
            )

    def close(self) -> None:
        """Cancel the timer."""
        if self.confirmation is not None:
            self.confirmation.cancel()

    # Task that subscribes to another process.

    async def run_subscriber(self) -> None:
        """Stay subscribed to the best source, until cancelled.

        Load pattern: after a power loss all processes start at once and know only the
        seeds, whose links would carry a snapshot for each of them. So a process first
        waits up to `FIRST_READ_TIMEOUT_S` for its first call to the store, or as long
        as an answer arrives: if the call succeeds, it needs no snapshot from a seed.
        """
        await self._wait_for_first_read()
        while True:
            sources = self._list_sources()
            for rank, host in enumerate(sources):
                max_duration_s = PREFERRED_RETRY_S if rank else float("inf")
                await self._follow_source(host, sources, max_duration_s=max_duration_s)
                if self._list_sources() != sources:
                    break
            else:
                await asyncio.sleep(SUBSCRIBE_RETRY_S)

    async def _wait_for_first_read(self) -> None:
        while not self.first_read_done.is_set():
            with suppress(TimeoutError):
                async with asyncio.timeout(FIRST_READ_TIMEOUT_S):
                    await self.first_read_done.wait()
            if not self.is_receiving():
                return

    def _list_sources(self) -> list[int]:
        """Return the hosts to subscribe to, the preferred one first.

        A process of the ranking follows only hosts ranked before it, so that processes
        never follow each other in a circle. While its calls to the store fail, it also
        tries the first hosts of the ranking. Unless its source is ranked before it, it
        then reports a failed view and so is no source for others. A process that
        starts does so too until one has answered: it may know what the store has lost.
        """
        ranking = self.get_ranking()
        sources = plan_sources(ranking, self.host)
        is_asking = not self.has_asked_process and self.loop.time() < self.ask_until
        if self.host in ranking and not self.is_failing and not is_asking:
            return sources
        others = [host for host in ranking if host != self.host][:MAX_UNRANKED_SOURCES]
        return list(dict.fromkeys([*sources, *others]))

    async def _follow_source(
        self, host: int, sources: list[int], *, max_duration_s: float
    ) -> None:
        """Apply changes from a source until it fails or another is to be used.

        The maximum duration cuts off no frame that is arriving.
        """
        try:
            reader, writer = await open_subscription(
                self.get_address(host),
                self._describe_known(),
            )
        except LinkError as error:
            self.metrics.counters["source.unreachable"] += 1
            log_event("source_unreachable", source=format_host(host), error=str(error))
            return
        leave_at = self.loop.time() + max_duration_s
        try:
            reason = await self._receive_frames(reader, host, sources, leave_at)
        finally:
            writer.transport.abort()
            if self.source:
                self.source = 0
                self.source_lost_at = self.loop.time()
        log_event(
            "source_left",
            source=format_host(host),
            reason=reason,
            age_s=self._get_rounded_age_s(),
        )

    def _describe_known(self) -> Subscribe:
        catalogue = self.catalogue
        return Subscribe(
            *catalogue.position,
            catalogue.configuration.version,
            catalogue.lacks_history,
        )

    async def _receive_frames(
        self,
        reader: asyncio.StreamReader,
        host: int,
        sources: list[int],
        leave_at: float,
    ) -> str:
        """Apply a source's frames; return the reason for leaving the source."""
        while True:
            arrival = TransferDeadline(SOURCE_TIMEOUT_S, self.loop.time())
            try:
                frame = await read_frame(reader, arrival)
            except TimeoutError:
                received = arrival.received
                return f"stalled after {received} bytes" if received else "silent"
            except LinkError as error:
                return str(error)
            is_first, self.has_asked_process = not self.has_asked_process, True
            if frame.change is not None:
                change = self._keep_lapsed_targets(frame.change)
                if not self._apply(change, source=format_host(host)):
                    return "gap"
                if self.catalogue.configuration.version:
                    self.loaded.set()
            # The change is applied first: the catalogue of a source that fails may
            # still be newer than this process's.
            if frame.age_ms / 1000 >= FAILED_AGE_S:
                return "failing"
            if is_first and host not in self._list_sources():
                return "asked"
            if self.source != host:
                log_event("source_found", source=format_host(host), age_ms=frame.age_ms)
                self.source = host
            # A large frame takes some time to arrive, by which its age is out of date.
            confirmed_at = arrival.started_at - frame.age_ms / 1000
            self.confirmed_at = max(self.confirmed_at, confirmed_at)
            if frame.change is not None and self._list_sources()[:1] != sources[:1]:
                return "ranking_changed"
            if self.age_s() > STALE_S:
                return "stale"
            if self.loop.time() >= leave_at:
                return "limit"

    def _keep_lapsed_targets(self, change: CatalogueChange) -> CatalogueChange:
        """Return a source's change without what only the lapse of entries explains.

        While the store is unreachable, entries lapse. The snapshot of a process that
        has read the store since lacks them, although their targets serve.
        """
        catalogue = self.catalogue
        is_later = change.position > catalogue.position
        if change.since or not is_later or change.epoch != catalogue.epoch:
            return change
        if self.age_s() <= OUTAGE_S:
            return change
        return add_missing_targets(change, catalogue.targets)

    def _get_rounded_age_s(self) -> float | None:
        age_s = self.age_s()
        return round(age_s, 2) if age_s < 1e6 else None
