"""Schema and validation of the published configuration documents.

A generation consists of an index and of chunks, each with a part of the services. The
index lists the digests of the chunks, so that processes fetch only those that changed
and detect damaged ones.
"""

import hashlib
from typing import Annotated, Literal

from pydantic import Field, ValidationError
from returns.result import Failure, Result, Success

from plantainyoke.configuration._errors import DocumentError
from plantainyoke.configuration._validation import NetworkText, StrictModel

MAX_DOCUMENT_BYTES = 1_000_000  # the platform refuses larger values
DIGEST_PATTERN = r"^[0-9a-f]{64}$"
DOCUMENT_FORMAT = 1

PackedAddress = Annotated[int, Field(ge=0, lt=1 << 48)]
Count = Annotated[int, Field(ge=0, lt=1 << 31)]
Digest = Annotated[str, Field(pattern=DIGEST_PATTERN)]


class Index(StrictModel):
    """Index of one generation, which refers to its chunks.

    Attributes
    ----------
    format : int
        Version of the document format.
    generation : int
    zones : dict of str to {"in", "out"}
        Availability zones, in service or taken out.
    networks : list of str
        Networks that agents may be in.
    chunks : list of str
        SHA-256 digests of the chunks; `compute_chunk_position` returns the position
        of the chunk that contains a service.
    """

    format: Literal[1] = DOCUMENT_FORMAT
    generation: int = Field(ge=1, lt=1 << 63)
    zones: dict[str, Literal["in", "out"]]
    networks: list[NetworkText]
    chunks: list[Digest] = Field(min_length=1)


class ServiceRecord(StrictModel):
    """One service as published.

    Attributes
    ----------
    name : str
    address : int
        Packed address that callers use.
    slots, cold_slots, warm_up_requests, request_timeout_ms, shed_status
        As in `ServiceFile`.
    targets : dict of str to list of int
        Packed addresses of the agents by zone name.
    """

    name: str
    address: PackedAddress
    slots: Count
    cold_slots: Count
    warm_up_requests: Count
    request_timeout_ms: Count
    shed_status: int | None = Field(default=None, ge=100, le=999)
    targets: dict[str, list[PackedAddress]]


class Chunk(StrictModel):
    """A part of the services of one generation."""

    services: list[ServiceRecord]


def compute_digest(document: bytes) -> str:
    """Return the SHA-256 digest of a document in hexadecimal."""
    return hashlib.sha256(document).hexdigest()


def compute_chunk_position(service_id: int, chunk_count: int) -> int:
    """Return the position in the index of the chunk that contains a service."""
    return service_id % chunk_count


def parse_index(document: bytes) -> Result[Index, DocumentError]:
    """Validate an index document."""
    return _validate_document("index", document, Index)


def parse_chunk(document: bytes, digest: str) -> Result[Chunk, DocumentError]:
    """Check the digest of a chunk document and validate it."""
    if compute_digest(document) != digest:
        return Failure(DocumentError(f"chunk {digest[:12]}", "digest does not match"))
    return _validate_document(f"chunk {digest[:12]}", document, Chunk)


def _validate_document(name: str, document: bytes, model):
    if len(document) > MAX_DOCUMENT_BYTES:
        return Failure(DocumentError(name, "larger than 1 MB"))
    try:
        return Success(model.model_validate_json(document))
    except ValidationError as error:
        first_error = error.errors()[0]
        location = ".".join(str(part) for part in first_error["loc"])
        return Failure(DocumentError(name, f"{location}: {first_error['msg']}"))
