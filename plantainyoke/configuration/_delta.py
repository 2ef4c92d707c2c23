"""Differences between two indexes, for peers that hold the older one."""

from pydantic import Field, ValidationError
from returns.result import Failure, Result, Success

from plantainyoke.configuration._documents import Digest, Index, compute_digest
from plantainyoke.configuration._errors import DocumentError
from plantainyoke.configuration._validation import StrictModel


class IndexDelta(StrictModel):
    """What turns one index into a later one with as many chunks.

    Attributes
    ----------
    base, digest : str
        Digests of the older and of the newer index.
    generation : int
    zones, networks
        None if unchanged.
    changed : list of (int, str)
        Positions and digests of the chunks that differ.
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
            [position, chunk]
            for position, (before, chunk) in enumerate(
                zip(old.chunks, new.chunks, strict=True)
            )
            if before != chunk
        ],
    )
    return delta.model_dump_json().encode()


def apply_delta(
    old: Index, old_digest: str, document: bytes
) -> Result[bytes, DocumentError]:
    """Rebuild the newer index document and check its digest."""
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
    rebuilt = new.model_dump_json().encode()
    if delta.base != old_digest or compute_digest(rebuilt) != delta.digest:
        return Failure(DocumentError("delta", "digest does not match"))
    return Success(rebuilt)
