"""Published documents: one index and chunks of services."""

import hashlib
from typing import Annotated, Literal

from pydantic import Field, ValidationError
from returns.result import Failure, Result, Success

from plantainyoke.configuration._errors import DocumentError
from plantainyoke.configuration._validation import NetworkText, StrictModel

MAX_DOCUMENT_BYTES = 1_000_000  # bytes; the platform refuses larger values
DIGEST_PATTERN = r"^[0-9a-f]{64}$"
DOCUMENT_FORMAT = 1

Digest = Annotated[str, Field(pattern=DIGEST_PATTERN)]


class Index(StrictModel):
    """The root of one generation.

    Attributes
    ----------
    format : int
    generation : int
    zones : dict of str to {"in", "out"}
    networks : list of str
        Networks that agents may be in.
    chunks : list of str
        SHA-256 digests; a service is in the chunk at its position.
    """

    format: Literal[1] = DOCUMENT_FORMAT
    generation: int = Field(ge=1, lt=1 << 63)
    zones: dict[str, Literal["in", "out"]]
    networks: list[NetworkText]
    chunks: list[Digest] = Field(min_length=1)


class ServiceRecord(StrictModel):
    """One service with its targets by availability zone."""

    name: str
    address: int
    slots: int
    cold_slots: int
    warm_up_requests: int
    request_timeout_ms: int
    shed_status: int | None = None
    targets: dict[str, list[int]]


class Chunk(StrictModel):
    """A share of the services."""

    services: list[ServiceRecord]


def compute_digest(document: bytes) -> str:
    """Return the SHA-256 digest of a document in hexadecimal."""
    return hashlib.sha256(document).hexdigest()


def chunk_position(service_id: int, chunk_count: int) -> int:
    """Return the position of the chunk that holds a service."""
    return service_id % chunk_count


def parse_index(document: bytes) -> Result[Index, DocumentError]:
    """Validate an index document."""
    return _parse("index", document, Index)


def parse_chunk(document: bytes, digest: str) -> Result[Chunk, DocumentError]:
    """Check the digest of a chunk document and validate it."""
    if compute_digest(document) != digest:
        return Failure(DocumentError(f"chunk {digest[:12]}", "digest does not match"))
    return _parse(f"chunk {digest[:12]}", document, Chunk)


def _parse(name: str, document: bytes, model):
    if len(document) > MAX_DOCUMENT_BYTES:
        return Failure(DocumentError(name, "larger than 1 MB"))
    try:
        return Success(model.model_validate_json(document))
    except ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(part) for part in first["loc"])
        return Failure(DocumentError(name, f"{place}: {first['msg']}"))
