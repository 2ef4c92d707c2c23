"""State of the configuration in force in one process.

A process receives index and chunk documents from the platform and from peers, in any
order and possibly stale. `ConfigurationState` verifies them, applies a generation
completely or not at all, and never returns to an older one.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from plantainyoke.configuration._delta import apply_delta, encode_delta
from plantainyoke.configuration._documents import (
    Chunk,
    Index,
    compute_chunk_position,
    compute_digest,
    parse_chunk,
    parse_index,
)
from plantainyoke.configuration._errors import DocumentError
from plantainyoke.configuration._snapshot import ConfigurationSnapshot, build_snapshot


@dataclass(frozen=True, slots=True)
class PendingIndex:
    """A newer index that is valid but not applied yet.

    Attributes
    ----------
    index : Index
    index_document : bytes
        The index as it was published.
    digest : str
        Digest of the index document.
    missing_digests : tuple of str
        Digests of the chunks that must be fetched before the index can be applied.
    """

    index: Index
    index_document: bytes
    digest: str
    missing_digests: tuple[str, ...]


MAX_HISTORY_LENGTH = 32


class ConfigurationState:
    """The configuration in force, its documents and recent indexes.

    Parameters
    ----------
    service_id : int, default=None
        If given, only the chunk of this service is kept and applied.

    Attributes
    ----------
    snapshot : ConfigurationSnapshot
        The configuration in force.
    index : Index or None
        Its index; None before the first configuration.
    index_document : bytes
        The index as it was published; empty before the first configuration.
    history : OrderedDict of str to Index
        The last ``MAX_HISTORY_LENGTH`` applied indexes by digest, oldest first; peers
        that hold one of them can receive a delta.
    chunks : dict of str to Chunk
        Applied chunks by digest.
    chunk_documents : dict of str to bytes
        Documents of the applied chunks by digest.
    listeners : list of callable
        Called with the new snapshot after each applied generation.
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
        """Validate an index document and compare it with the index in force.

        Configurations are ordered by generation, then by digest, so that all
        processes select the same one of two documents with equal generations.

        Returns
        -------
        Success of a PendingIndex, or of None if the index is not newer than the one
        in force; Failure of DocumentError if the document is not valid.
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
                chunk_digest
                for chunk_digest in self.list_needed_digests(index)
                if chunk_digest not in self.chunks
            )
        )
        return Success(PendingIndex(index, document, digest, missing_digests))

    def list_needed_digests(self, index: Index) -> list[str]:
        """Return the digests of those chunks of an index that this process applies."""
        if self.service_id is None:
            return index.chunks
        return [
            index.chunks[compute_chunk_position(self.service_id, len(index.chunks))]
        ]

    def apply(self, pending: PendingIndex, chunk_documents: dict[str, bytes]) -> Result:
        """Apply a generation completely, or change nothing.

        Changes nothing if the configuration in force is at least as new.

        Parameters
        ----------
        pending : PendingIndex
        chunk_documents : dict of str to bytes
            Documents of the missing chunks by digest.

        Returns
        -------
        Success of the ConfigurationSnapshot in force, or Failure of DocumentError.
        """
        if (pending.index.generation, pending.digest) <= self.snapshot.version:
            return Success(self.snapshot)
        chunks = {}
        for digest in self.list_needed_digests(pending.index):
            chunk = self._get_chunk(digest, chunk_documents)
            if isinstance(chunk, Failure):
                return chunk
            chunks[digest] = chunk.unwrap()
        self._commit(pending, chunks, chunk_documents)
        return Success(self.snapshot)

    def encode_delta_from(self, digest: str) -> bytes:
        """Return the delta document from an earlier index to the one in force.

        Empty if the earlier index is not in the history or has another number of
        chunks.

        Parameters
        ----------
        digest : str
            Digest of the earlier index.
        """
        old = self.history.get(digest)
        if old is None or len(old.chunks) != len(self.index.chunks):
            return b""
        return encode_delta(old, digest, self.index, self.snapshot.digest)

    def rebuild_index(self, delta: bytes) -> Result[bytes, DocumentError]:
        """Return the index document that results from a delta to the one in force."""
        if self.index is None:
            return Failure(DocumentError("delta", "no index to apply it to"))
        return apply_delta(self.index, self.snapshot.digest, delta)

    def _add_to_history(self, pending: PendingIndex) -> None:
        self.history[pending.digest] = pending.index
        if len(self.history) > MAX_HISTORY_LENGTH:
            self.history.popitem(last=False)

    def _get_chunk(self, digest: str, chunk_documents) -> Result[Chunk, DocumentError]:
        if digest in self.chunks:
            return Success(self.chunks[digest])
        if digest not in chunk_documents:
            return Failure(DocumentError(f"chunk {digest[:12]}", "missing"))
        return parse_chunk(chunk_documents[digest], digest)

    def _commit(self, pending: PendingIndex, chunks, chunk_documents) -> None:
        available_documents = {**self.chunk_documents, **chunk_documents}
        self.snapshot = build_snapshot(
            pending.index,
            pending.digest,
            added=[
                chunks[chunk_digest]
                for chunk_digest in chunks.keys() - self.chunks.keys()
            ],
            removed=[
                self.chunks[chunk_digest]
                for chunk_digest in self.chunks.keys() - chunks.keys()
            ],
            previous=self.snapshot,
        )
        self.index = pending.index
        self.index_document = pending.index_document
        self._add_to_history(pending)
        self.chunks = chunks
        self.chunk_documents = {
            digest: available_documents[digest] for digest in chunks
        }
        for listener in self.listeners:
            listener(self.snapshot)
