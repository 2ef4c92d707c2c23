"""Keeps a process's catalogue up to date with few calls to the store.

In each zone the agents are ranked by rendezvous hashing. The first reads the store,
the others subscribe along a tree of ranks. Who is stale
for longer than its rank's patience reads for itself, so nobody is elected and a
process that the store refuses still learns from those it serves.
"""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

from plantainyoke.catalogue._catalogue import Catalogue
from plantainyoke.catalogue._change_builder import ChangeBuilder, StoreUpdate
from plantainyoke.catalogue._ranking import plan_sources
from plantainyoke.catalogue._subscription import (
    ALIVE_INTERVAL_S,
    CatalogueServer,
    LinkError,
    open_subscription,
    read_frame,
)
from plantainyoke.catalogue._types import CatalogueChange
from plantainyoke.hashing import rank_by_rendezvous
from plantainyoke.network import Address, format_host
from plantainyoke.telemetry import Metrics, log_event

READ_INTERVAL_S = 0.15  # changes that come in quick succession share a call
STALE_S = 3.0  # age of a view at which another source is sought; above a watch's wait
FAILED_AGE_S = 1e6  # age told to subscribers while this process learns nothing
SILENCE_S = 3 * ALIVE_INTERVAL_S
PATIENCE_STEP_S = 0.25  # that each rank waits longer than the one before it
MAX_PATIENCE_RANK = 6
MAX_SOURCES = 4  # ranks that a process follows while the store refuses it
RETRY_S = 0.3
FIRST_READ_S = 0.3  # the store answers in milliseconds; then peers may know more
ANY_ZONE = 0  # ranks hosts that are not of the own zone
RETRY_FIRST_S = 5.0  # return to the first rank after it came back
MIN_BACKOFF_S = 0.4  # pause after a failed call to the store
MAX_BACKOFF_S = 2.0

Read = Callable[[], Awaitable[StoreUpdate]]


class CatalogueFollower:
    """Follows the published state.

    Parameters
    ----------
    host : int
    zone : int
        Identifier of the process's zone.
    catalogue : Catalogue
    read : callable
        Coroutine function that returns what is new in the store.
    store_errors : tuple of type
        Exceptions with which ``read`` fails.
    address_of : callable
        Returns the address of a host's catalogue server.
    seeds : sequence of int
        Hosts to ask while no target is known.
    metrics : Metrics
    jitter : callable
        Returns a random factor around 1 for pauses between retries.

    Attributes
    ----------
    confirmed_at : float
        Loop time at which the store confirmed the view, by whatever way.
    source : int
        Host of the source in use, 0 for none.
    sourceless_at : float
        Loop time at which the last source was lost.
    is_failing : bool
        Whether the last call to the store failed.
    reads : bool
        Whether it is this process's turn to read the store.
    first_read : asyncio.Event
        Set when the first call to the store has ended, whatever came of it.
    """

    def __init__(
        self,
        *,
        host: int,
        zone: int,
        catalogue: Catalogue,
        read: Read,
        store_errors: tuple[type[Exception], ...],
        address_of: Callable[[int], Address],
        seeds: tuple[int, ...],
        metrics: Metrics,
        jitter: Callable[[], float],
    ) -> None:
        self.host = host
        self.zone = zone
        self.catalogue = catalogue
        self.read = read
        self.store_errors = store_errors
        self.address_of = address_of
        self.seeds = seeds
        self.metrics = metrics
        self.jitter = jitter
        self.change_builder = ChangeBuilder()
        self.server = CatalogueServer(catalogue, self.reported_age_s, metrics)
        self.is_failing = False
        self.reads = True
        self.loaded = asyncio.Event()
        self.first_read = asyncio.Event()
        self.confirmed_at = float("-inf")
        self.read_at = float("-inf")
        self.ranked: list[int] = []
        self.ranked_at = -1
        self.source = 0
        self.loop = asyncio.get_running_loop()
        self.sourceless_at = self.loop.time()

    def age_s(self) -> float:
        """Return the time since the store confirmed the view."""
        return self.loop.time() - self.confirmed_at

    def record_pause(self, gap_s: float) -> None:
        """Age the view by a time that the clock may not have counted."""
        self.confirmed_at -= gap_s

    def reported_age_s(self) -> float:
        """Return the age of the view for subscribers.

        A process that neither reads nor follows a source says so at once: who
        depends on it need not wait until its view has aged.
        """
        reads = self.reads and not self.is_failing
        return self.age_s() if reads or self._follows_better() else FAILED_AGE_S

    def _follows_better(self) -> bool:
        ranking = self.ranking()
        if self.source not in ranking:
            return False
        if self.host not in ranking:
            return True
        return ranking.index(self.source) < ranking.index(self.host)

    def ranking(self) -> list[int]:
        """Return the hosts of the zone's agents in the order in which they read.

        Where a zone has none, all agents take their place, and the seeds where
        none is known; every zone ranks these alike, so that none waits for another.
        """
        catalogue = self.catalogue
        if self.ranked_at == catalogue.revision:
            return self.ranked
        ring = catalogue.rings_by_zone.get(self.zone)
        hosts = ring.hosts if ring else list(catalogue.target_by_host) or self.seeds
        key = (self.zone if ring else ANY_ZONE).to_bytes(4, "big")
        members = [host.to_bytes(4, "big") for host in hosts]
        self.ranked = [
            int.from_bytes(member, "big") for member in rank_by_rendezvous(key, members)
        ]
        self.ranked_at = catalogue.revision
        return self.ranked

    def rank(self) -> int:
        """Return this process's place among those that may read for the zone."""
        ranking = self.ranking()
        if self.host in ranking:
            return min(ranking.index(self.host), MAX_PATIENCE_RANK)
        return MAX_PATIENCE_RANK

    def wait_s(self) -> float:
        """Return the time until this process reads the store for itself.

        With a source it waits until the view is stale, without one only for the
        better ranks to begin.
        """
        rank = self.rank() if self.catalogue.revision else 0
        if rank == 0:
            return 0.0
        patience_s = PATIENCE_STEP_S * rank
        stale_in_s = STALE_S + patience_s - self.age_s()
        if self.source:
            return stale_in_s
        return min(stale_in_s, self.sourceless_at + patience_s - self.loop.time())

    # One task reads the store.

    async def run_reader(self) -> None:
        """Read the store whenever it is this process's turn, until cancelled."""
        backoff_s = MIN_BACKOFF_S
        while True:
            await self._wait_for_turn()
            started = self.loop.time()
            try:
                update = await self.read()
            except self.store_errors as error:
                self.metrics.counters["store.failed"] += 1
                log_event("store_failed", error=str(error), age_s=self._rounded_age())
                self._record_failure()
                self.first_read.set()
                await asyncio.sleep(backoff_s * self.jitter())
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
                continue
            if self.is_failing:
                log_event("store_regained", revision=update.revision)
            self.is_failing = False
            self.first_read.set()
            backoff_s = MIN_BACKOFF_S
            self._take_update(update)
            spent = self.loop.time() - started
            await asyncio.sleep(max(0.0, READ_INTERVAL_S - spent))

    def _record_failure(self) -> None:
        if not self.is_failing:
            self.is_failing = True
            self.server.announce_age()

    async def _wait_for_turn(self) -> None:
        while self.loaded.is_set():
            wait_s = self.wait_s()
            self.reads = wait_s <= 0
            if self.reads:
                return
            await asyncio.sleep(min(wait_s, PATIENCE_STEP_S))

    def _take_update(self, update: StoreUpdate) -> None:
        now = self.loop.time()
        self.change_builder.adopt(self.catalogue.snapshot())
        change = self.change_builder.build_change(update, now)
        self.confirmed_at = self.read_at = now
        if change is not None:
            self._apply(change, source="store")
        self.loaded.set()

    def _apply(self, change: CatalogueChange, *, source: str) -> bool:
        """Apply a change; tell whether the catalogue is at least as new now."""
        if not self.catalogue.apply(change, self.loop.time()):
            return change.revision <= self.catalogue.revision
        log_event(
            "catalogue_changed",
            source=source,
            revision=change.revision,
            version=self.catalogue.configuration.version,
            targets=len(self.catalogue.targets),
            changed=len(change.targets),
            removed=len(change.removed),
            zones_out=",".join(sorted(self.catalogue.zones_out)) or None,
        )
        self.server.publish(change)
        return True

    # Another subscribes to a process that reads.

    async def run_subscriber(self) -> None:
        """Stay subscribed to the best source, until cancelled.

        Load pattern: after a power loss every process starts at once and knows the
        seeds alone, whose links would carry the catalogue once for each of them.
        Whoever can read the store needs none of that.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(FIRST_READ_S):
                await self.first_read.wait()
        while True:
            sources = self._sources()
            for rank, host in enumerate(sources):
                limit_s = RETRY_FIRST_S if rank else None
                await self._follow_source(host, sources, limit_s=limit_s)
                if self._sources() != sources:
                    break
            else:
                await asyncio.sleep(RETRY_S)

    def _sources(self) -> list[int]:
        """Return the hosts to subscribe to, the best first.

        Better ranks only, so that processes never follow each other in a circle.
        Whom the store refuses follows anybody, and is no source itself meanwhile.
        """
        ranking = self.ranking()
        sources = plan_sources(ranking, self.host)
        if self.host in ranking and not self.is_failing:
            return sources
        others = [host for host in ranking if host != self.host][:MAX_SOURCES]
        return list(dict.fromkeys([*sources, *others]))

    async def _follow_source(
        self, host: int, sources: list[int], *, limit_s: float | None
    ) -> None:
        """Take changes from a source until it is useless or another is better."""
        try:
            reader, writer = await open_subscription(
                self.address_of(host), self.catalogue.revision
            )
        except LinkError as error:
            self.metrics.counters["source.unreachable"] += 1
            log_event("source_unreachable", source=format_host(host), error=str(error))
            return
        reason = "limit"
        try:
            async with asyncio.timeout(limit_s):
                reason = await self._take_frames(reader, host, sources)
        except TimeoutError:
            pass
        finally:
            writer.transport.abort()
            if self.source:
                self.source = 0
                self.sourceless_at = self.loop.time()
        log_event(
            "source_left",
            source=format_host(host),
            reason=reason,
            age_s=self._rounded_age(),
        )

    async def _take_frames(
        self, reader: asyncio.StreamReader, host: int, sources: list[int]
    ) -> str:
        """Apply a source's frames; return why it is left."""
        while True:
            try:
                async with asyncio.timeout(SILENCE_S):
                    frame = await read_frame(reader)
            except TimeoutError:
                return "silent"
            except LinkError as error:
                return str(error)
            if frame.change is not None:
                if not self._apply(frame.change, source=format_host(host)):
                    return "gap"
                if self.catalogue.configuration.version:
                    self.loaded.set()
            # What a source knows is of use even if it learns nothing new itself.
            if frame.age_ms / 1000 >= FAILED_AGE_S:
                return "failing"
            if self.source != host:
                log_event("source_found", source=format_host(host), age_ms=frame.age_ms)
                self.source = host
            confirmed_at = self.loop.time() - frame.age_ms / 1000
            self.confirmed_at = max(self.confirmed_at, confirmed_at)
            if frame.change is not None and self._sources()[:1] != sources[:1]:
                return "ranking_changed"
            if self.age_s() > STALE_S:
                return "stale"

    def _rounded_age(self) -> float | None:
        age_s = self.age_s()
        return round(age_s, 2) if age_s < 1e6 else None
