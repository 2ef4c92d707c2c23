"""Applies whole verified generations that only rise."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from plantainyoke.configuration._delta import apply_delta, encode_delta
from plantainyoke.configuration._documents import (
    Chunk,
    Index,
    chunk_position,
    compute_digest,
    parse_chunk,
    parse_index,
)
from plantainyoke.configuration._errors import DocumentError
from plantainyoke.configuration._snapshot import ConfigurationSnapshot, build_snapshot


@dataclass(frozen=True, slots=True)
class PendingIndex:
    """A newer index whose chunks are not all here yet."""

    index: Index
    index_document: bytes
    digest: str
    missing_digests: tuple[str, ...]


KEPT_INDEXES = 32


class ConfigurationState:
    """Holds the configuration in force and its documents.

    Parameters
    ----------
    service_id : int, default=None
        If given, only the chunk of this service is kept and applied.
    """

    def __init__(self, service_id: int | None = None) -> None:
        self.service_id = service_id
        self.snapshot = ConfigurationSnapshot()
        self.index: Index | None = None
        self.index_document = b""
        self.history: OrderedDict[str, Index] = OrderedDict()
        self.chunks: dict[str, Chunk] = {}
        self.chunk_documents: dict[str, bytes] = {}
        self.listeners: list[Callable[[ConfigurationSnapshot], None]] = []

    def check_index(
        self, document: bytes
    ) -> Result[PendingIndex | None, DocumentError]:
        """Return an offer if an index is newer than the one in force.

        Configurations are ordered by generation, then by digest: of two
        documents with one generation every process ends with the same one.
        """
        digest = compute_digest(document)
        if digest == self.snapshot.digest:
            return Success(None)
        parsed = parse_index(document)
        if isinstance(parsed, Failure):
            return parsed
        index = parsed.unwrap()
        if (index.generation, digest) <= self.snapshot.version:
            return Success(None)
        missing_digests = tuple(
            dict.fromkeys(
                name for name in self.wanted(index) if name not in self.chunks
            )
        )
        return Success(PendingIndex(index, document, digest, missing_digests))

    def wanted(self, index: Index) -> list[str]:
        """Return the digests of the chunks that this process applies."""
        if self.service_id is None:
            return index.chunks
        return [index.chunks[chunk_position(self.service_id, len(index.chunks))]]

    def apply(self, pending: PendingIndex, chunk_documents: dict[str, bytes]) -> Result:
        """Apply a whole generation or nothing.

        Parameters
        ----------
        pending : PendingIndex
        chunk_documents : dict of str to bytes
            The missing chunks by digest.

        Returns
        -------
        Success of the ConfigurationSnapshot in force, or Failure of DocumentError.
        """
        if (pending.index.generation, pending.digest) <= self.snapshot.version:
            return Success(self.snapshot)
        chunks = {}
        for digest in self.wanted(pending.index):
            chunk = self._take_chunk(digest, chunk_documents)
            if isinstance(chunk, Failure):
                return chunk
            chunks[digest] = chunk.unwrap()
        self._commit(pending, chunks, chunk_documents)
        return Success(self.snapshot)

    def encode_delta_from(self, digest: str) -> bytes:
        """Return the delta from an earlier index, empty if there is none."""
        old = self.history.get(digest)
        if old is None or len(old.chunks) != len(self.index.chunks):
            return b""
        return encode_delta(old, digest, self.index, self.snapshot.digest)

    def rebuild_index(self, delta: bytes) -> Result[bytes, DocumentError]:
        """Return the index document that a delta from the current one leads to."""
        if self.index is None:
            return Failure(DocumentError("delta", "no index to apply it to"))
        return apply_delta(self.index, self.snapshot.digest, delta)

    def _remember(self, pending: PendingIndex) -> None:
        self.history[pending.digest] = pending.index
        if len(self.history) > KEPT_INDEXES:
            self.history.popitem(last=False)

    def _take_chunk(self, digest: str, chunk_documents) -> Result[Chunk, DocumentError]:
        if digest in self.chunks:
            return Success(self.chunks[digest])
        if digest not in chunk_documents:
            return Failure(DocumentError(f"chunk {digest[:12]}", "missing"))
        return parse_chunk(chunk_documents[digest], digest)

    def _commit(self, pending: PendingIndex, chunks, chunk_documents) -> None:
        held = {**self.chunk_documents, **chunk_documents}
        self.snapshot = build_snapshot(
            pending.index,
            pending.digest,
            added=[chunks[name] for name in chunks.keys() - self.chunks.keys()],
            removed=[self.chunks[name] for name in self.chunks.keys() - chunks.keys()],
            previous=self.snapshot,
        )
        self.index = pending.index
        self.index_document = pending.index_document
        self._remember(pending)
        self.chunks = chunks
        self.chunk_documents = {digest: held[digest] for digest in chunks}
        for listener in self.listeners:
            listener(self.snapshot)
