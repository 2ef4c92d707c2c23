"""Delta documents between two indexes.

An index lists every chunk of a generation. A peer that holds an older index receives
only the difference, rebuilds the newer index document from it and checks its digest.
"""

from pydantic import Field, ValidationError
from returns.result import Failure, Result, Success

from plantainyoke.configuration._documents import Digest, Index, compute_digest
from plantainyoke.configuration._errors import DocumentError
from plantainyoke.configuration._validation import StrictModel


class IndexDelta(StrictModel):
    """Difference between two indexes with the same number of chunks.

    Attributes
    ----------
    base, digest : str
        Digests of the older and of the newer index document.
    generation : int
        Generation of the newer index.
    zones : dict of str to str, or None
        Zones of the newer index; None if unchanged.
    networks : list of str, or None
        Networks of the newer index; None if unchanged.
    changed : list of [int, str]
        Positions of the changed chunks and their digests in the newer index.
    """

    base: Digest
    digest: Digest
    generation: int = Field(ge=1)
    zones: dict[str, str] | None
    networks: list[str] | None
    changed: list[list[int | str]]


def encode_delta(old: Index, old_digest: str, new: Index, new_digest: str) -> bytes:
    """Return the delta document between two indexes of equal chunk count."""
    delta = IndexDelta(
        base=old_digest,
        digest=new_digest,
        generation=new.generation,
        zones=None if old.zones == new.zones else new.zones,
        networks=None if old.networks == new.networks else new.networks,
        changed=[
            [position, new_chunk]
            for position, (old_chunk, new_chunk) in enumerate(
                zip(old.chunks, new.chunks, strict=True)
            )
            if old_chunk != new_chunk
        ],
    )
    return delta.model_dump_json().encode()


def apply_delta(
    old: Index, old_digest: str, document: bytes
) -> Result[bytes, DocumentError]:
    """Rebuild the newer index document from a delta and check its digest.

    Parameters
    ----------
    old : Index
    old_digest : str
        Digest of the older index document.
    document : bytes
        The delta document.
    """
    try:
        delta = IndexDelta.model_validate_json(document)
        chunks = list(old.chunks)
        for position, chunk in delta.changed:
            chunks[position] = chunk
        new = Index(
            generation=delta.generation,
            zones=old.zones if delta.zones is None else delta.zones,
            networks=old.networks if delta.networks is None else delta.networks,
            chunks=chunks,
        )
    except (ValidationError, ValueError, TypeError, IndexError) as error:
        return Failure(DocumentError("delta", type(error).__name__))
    index_document = new.model_dump_json().encode()
    if delta.base != old_digest or compute_digest(index_document) != delta.digest:
        return Failure(DocumentError("delta", "digest does not match"))
    return Success(index_document)
