"""Keeps the configuration of a process up to date.

A few readers in each zone watch the platform; other processes poll their parents and
pull new documents from a peer. A process whose parents do not answer reads the platform
itself, at a bounded rate. The load on the platform thus grows with the number of zones,
not of processes.
"""

import asyncio
import gc
import random
import zlib

from returns.result import Failure

from plantainyoke.configuration import PendingIndex, compute_digest
from plantainyoke.membership import DistributionPlan, plan_distribution
from plantainyoke.network import (
    format_packed_address,
    pack_address,
    parse_address,
)
from plantainyoke.node._documents import HOSTS_DOCUMENT, DocumentExchange
from plantainyoke.node._links import LinkClosedError
from plantainyoke.node._node import Node
from plantainyoke.publication import DocumentNotFoundError, parse_hosts
from plantainyoke.telemetry import log_event
from plantainyoke.wire import (
    Probe,
)

POLL_INTERVAL_S = 0.5
PARENT_TIMEOUT_S = 2.0
PULL_JITTER_S = 0.2
BOOTSTRAP_RETRY_S = 0.5
HOSTS_INTERVAL_S = 5.0
HOSTS_ENTRIES_PER_S = 50.0  # bounds the bandwidth of reading a long list
CHILD_RETENTION_S = 2.0
WATCH_RETRY_S = 0.5
READS_PER_ZONE_PER_S = 20.0  # one zone's share of the platform's read budget
MIN_FALLBACK_READ_INTERVAL_S = 3.0
PLATFORM_SOURCE = "platform"


class ConfigurationFollower:
    """Applies newer configurations from the platform or from peers.

    Parameters
    ----------
    node : Node
    rng : random.Random
        Draws the jitter of reads, pulls and probes.

    Attributes
    ----------
    source : str
        ``PLATFORM_SOURCE`` or the address of the peer that supplied the configuration
        in force.
    plan : DistributionPlan
        Whether this process reads the platform, and its parents.
    heard_at : dict of int to float
        Loop time of the last message from each peer, by packed address.
    children : dict of int to float
        Loop time of the last probe from each peer that polls this process.
    newer_available : asyncio.Event
        Set when a peer reports a newer generation.
    newest_seen : tuple of (int, int)
        The highest newer generation not pulled yet and the packed address of the peer
        that reported it; zeros if none.
    next_fallback_read_at : float
        Loop time from which the platform may be read in place of silent parents.
    apply_lock : asyncio.Lock
        Serializes checking and applying indexes.
    fetched_chunks : dict of str to bytes
        Chunks of a generation of which others could not be fetched yet, by digest.
    """

    def __init__(self, node: Node, rng: random.Random) -> None:
        self.node = node
        self.rng = rng
        self.source = ""
        self.plan = DistributionPlan(True, ())
        self.documents = DocumentExchange(node)
        self.heard_at: dict[int, float] = {}
        self.children: dict[int, float] = {}
        self.newer_available = asyncio.Event()
        self.newest_seen: tuple[int, int] = (0, 0)
        self.parent_index = 0
        self.next_fallback_read_at = 0.0
        self.apply_lock = asyncio.Lock()
        self.fetched_chunks: dict[str, bytes] = {}
        self.watch_task: asyncio.Task | None = None
        self.seeds = [pack_address(parse_address(seed)) for seed in node.settings.seeds]
        node.follower = self
        node.generation_listeners.append(self.record_generation)

    @property
    def is_balancer(self) -> bool:
        """Whether this process is a balancer."""
        return self.node.settings.role == "balancer"

    def record_generation(self, generation: int, peer: int) -> None:
        """Record the generation stamped on a peer's message."""
        self.heard_at[peer] = asyncio.get_running_loop().time()
        if generation > self.node.generation and generation > self.newest_seen[0]:
            self.newest_seen = (generation, peer)
            self.newer_available.set()

    def record_child(self, peer: int) -> None:
        """Record that a peer polls this process for its generation."""
        self.children[peer] = asyncio.get_running_loop().time()

    async def bootstrap(self) -> None:
        """Read the platform, seeds and parents, and apply the newest configuration.

        Retries until a configuration is in force.
        """
        await self.refresh_hosts()
        while self.node.generation == 0:
            peers = [*self.seeds, *self.plan.parents]
            await asyncio.gather(
                self.read_platform(), *(self.pull(peer) for peer in peers)
            )
            if self.node.generation == 0:
                self.node.metrics.count("configuration.bootstrap_retry")
                await asyncio.sleep(BOOTSTRAP_RETRY_S * (1 + self.rng.random()))
                await self.refresh_hosts()

    def start(self) -> None:
        """Start the tasks that keep the configuration up to date.

        The objects of the first configuration are exempt from cyclic garbage
        collection, since a collection that scans them would block packets for long.
        """
        gc.collect()
        gc.freeze()
        self.node.start_essential_task(self._pull_newer, name="pull")
        self.node.start_essential_task(self._poll_parents, name="poll")
        self.node.start_essential_task(self._refresh_hosts_loop, name="hosts")
        self._update_watch()

    async def refresh_hosts(self) -> None:
        """Update the host list from a parent or from the platform.

        Readers, and processes whose parents do not answer, read the platform.
        """
        document = b""
        if not self.plan.is_reader:
            document = await self._pull_hosts()
        if not document:
            result = await self.node.platform.read_hosts(self.node.settings.zone)
            if isinstance(result, Failure):
                self.node.metrics.count("platform.hosts_failed")
                return
            document = result.unwrap()
        self._apply_hosts(document)

    async def read_platform(self) -> None:
        """Read the platform's index once and apply it if it is newer."""
        result = await self.node.platform.read_index()
        if isinstance(result, Failure):
            self.node.metrics.count("platform.read_failed")
            return
        await self.accept_index(result.unwrap(), None)

    async def pull(self, peer: int) -> None:
        """Pull a peer's index and the missing chunks, and apply them if newer."""
        try:
            document = await self.documents.pull_index(peer)
            if document:
                await self.accept_index(document, peer)
        except (LinkClosedError, TimeoutError, zlib.error):
            self.node.metrics.count("configuration.pull_failed")

    async def accept_index(self, document: bytes, peer: int | None) -> bool:
        """Fetch the missing chunks of a newer index and apply its generation.

        Parameters
        ----------
        document : bytes
        peer : int or None
            Packed address of the source of the index; None for the platform.

        Returns
        -------
        bool
            Whether the generation was applied.
        """
        configuration = self.node.configuration
        async with self.apply_lock:
            checked = configuration.check_index(document)
            if isinstance(checked, Failure):
                self.node.metrics.count("configuration.bad_index")
                log_event("configuration_refused", error=str(checked.failure()))
                return False
            pending = checked.unwrap()
            if pending is None:
                return False
            return await self._apply(pending, peer)

    async def _apply(self, pending: PendingIndex, peer: int | None) -> bool:
        missing = pending.missing_digests
        # Chunks of an attempt that failed are not transferred again.
        fetched = self.fetched_chunks = {
            digest: body
            for digest, body in self.fetched_chunks.items()
            if digest in missing
        }
        for digest in missing:
            if digest in fetched:
                continue
            body = await self._fetch_chunk(digest, peer)
            if body is None:
                self.node.metrics.count("configuration.chunk_missing")
                return False
            fetched[digest] = body
        self.fetched_chunks = {}
        applied = self.node.configuration.apply(pending, fetched)
        if isinstance(applied, Failure):
            self.node.metrics.count("configuration.bad_chunk")
            log_event("configuration_refused", error=str(applied.failure()))
            return False
        self.source = PLATFORM_SOURCE if peer is None else format_packed_address(peer)
        self._notify_children()
        self.node.metrics.count("configuration.applied")
        log_event(
            "configuration_applied",
            generation=pending.index.generation,
            source=self.source,
        )
        return True

    def _notify_children(self) -> None:
        """Send the new generation to the peers that polled recently."""
        oldest = asyncio.get_running_loop().time() - CHILD_RETENTION_S
        self.children = {
            peer: polled_at
            for peer, polled_at in self.children.items()
            if polled_at > oldest
        }
        for peer in self.children:
            self._send_probe(peer)

    async def _fetch_chunk(self, digest: str, peer: int | None) -> bytes | None:
        """Return a chunk from the peer or else the platform, None if unavailable.

        A body whose digest does not match is discarded.
        """
        if peer is not None:
            try:
                _, body = await self.documents.pull(peer, digest)
            except (LinkClosedError, zlib.error):
                body = b""
            if body and compute_digest(body) == digest:
                return body
        result = await self.node.platform.read_chunk(digest)
        if isinstance(result, Failure):
            stale = isinstance(result.failure(), DocumentNotFoundError)
            name = "platform.stale" if stale else "platform.read_failed"
            self.node.metrics.count(name)
            return None
        body = result.unwrap()
        if compute_digest(body) != digest:
            self.node.metrics.count("configuration.bad_chunk")
            return None
        return body

    async def _pull_hosts(self) -> bytes:
        for parent in self.plan.parents:
            try:
                _, document = await self.documents.pull(parent, HOSTS_DOCUMENT)
            except (LinkClosedError, TimeoutError, zlib.error):
                document = b""
            if document:
                return document
        return b""

    def _apply_hosts(self, document: bytes) -> None:
        if document == self.documents.hosts_document:
            return
        hosts = parse_hosts(document)
        if isinstance(hosts, Failure):
            self.node.metrics.count("platform.hosts_failed")
            return
        self.documents.hosts_document = document
        self.node.hosts = hosts.unwrap()
        self._update_plan()

    def _update_plan(self) -> None:
        self.plan = plan_distribution(
            self.node.hosts,
            address=self.node.address,
            zone=self.node.zone,
            is_balancer=self.is_balancer,
        )
        self.parent_index = 0
        if self.watch_task is not None or self.node.generation:
            self._update_watch()

    def _update_watch(self) -> None:
        if self.plan.is_reader and self.watch_task is None:
            self.watch_task = self.node.start_essential_task(
                self._watch_platform, name="watch"
            )
        elif not self.plan.is_reader and self.watch_task is not None:
            self.watch_task.cancel()
            self.watch_task = None

    async def _watch_platform(self) -> None:
        while True:
            result = await self.node.platform.watch_index(self.node.snapshot.digest)
            if isinstance(result, Failure):
                self.node.metrics.count("platform.watch_failed")
                await asyncio.sleep(WATCH_RETRY_S * (1 + self.rng.random()))
                continue
            applied = await self.accept_index(result.unwrap(), None)
            if (
                not applied
                and compute_digest(result.unwrap()) != self.node.snapshot.digest
            ):
                # A stale replica answers a watch at once, so an immediate retry
                # would loop without a pause.
                self.node.metrics.count("platform.stale")
                await asyncio.sleep(WATCH_RETRY_S * (1 + self.rng.random()))

    async def _pull_newer(self) -> None:
        while True:
            await self.newer_available.wait()
            self.newer_available.clear()
            generation, peer = self.newest_seen
            await asyncio.sleep(self.rng.random() * PULL_JITTER_S)
            if generation > self.node.generation:
                await self.pull(peer)
            self.newest_seen = (0, 0)

    async def _poll_parents(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(POLL_INTERVAL_S * (0.75 + self.rng.random() / 2))
            parents = self.plan.parents
            if parents:
                self._probe_parent(parents, loop.time())
            self._probe_random_balancer()
            if not self.plan.is_reader:
                await self._read_if_parents_silent(loop.time())

    def _probe_parent(self, parents: tuple[int, ...], now: float) -> None:
        parent = parents[self.parent_index % len(parents)]
        self._send_probe(parent)
        last_heard_at = self.heard_at.setdefault(parent, now)
        if now - last_heard_at > PARENT_TIMEOUT_S:
            self.node.metrics.count("configuration.parent_silent")
            del self.heard_at[parent]
            self.parent_index += 1

    def _probe_random_balancer(self) -> None:
        if not self.is_balancer:
            return
        others = self.node.hosts.list_balancers()
        if others:
            chosen = self.rng.choice(others).address
            if chosen != self.node.address:
                self._send_probe(chosen)

    async def _read_if_parents_silent(self, now: float) -> None:
        """Read the platform if every parent had time to answer and none did.

        The interval grows with the number of processes in the zone, so that their total
        rate stays near ``READS_PER_ZONE_PER_S`` even if they all lose their parents.
        """
        heard_at = [self.heard_at.get(parent, 0.0) for parent in self.plan.parents]
        if heard_at and now - max(heard_at) < PARENT_TIMEOUT_S * len(heard_at):
            return
        if now < self.next_fallback_read_at:
            return
        members = len(self.node.hosts.list_addresses_in_zone(self.node.zone))
        interval_s = max(MIN_FALLBACK_READ_INTERVAL_S, members / READS_PER_ZONE_PER_S)
        self.next_fallback_read_at = now + interval_s * (0.5 + self.rng.random())
        self.node.metrics.count("configuration.self_read")
        await self.read_platform()

    def _send_probe(self, peer: int) -> None:
        probe = Probe(self.rng.getrandbits(63), self.is_balancer)
        envelope = self.node.codec.encode_probe(self.node.generation, probe)
        self.node.send(envelope, peer, "bytes.configuration_probe")

    async def _refresh_hosts_loop(self) -> None:
        while True:
            entries = len(self.node.hosts.entries)
            interval_s = max(HOSTS_INTERVAL_S, entries / HOSTS_ENTRIES_PER_S)
            await asyncio.sleep(interval_s * (0.75 + self.rng.random() / 2))
            await self.refresh_hosts()
