"""Build of the published documents from the service files.

Services are distributed over chunks by identifier, so that a change to one service
changes one chunk and the index, and processes fetch no more than that.
"""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from plantainyoke.configuration._documents import (
    MAX_DOCUMENT_BYTES,
    Chunk,
    Index,
    ServiceRecord,
    compute_chunk_position,
    compute_digest,
)
from plantainyoke.configuration._errors import (
    ConfigurationError,
    FileProblem,
    InvalidFilesError,
    StaleGenerationError,
)
from plantainyoke.configuration._service_files import FleetFile, ServiceFile
from plantainyoke.hashing import (
    compute_service_id,
)
from plantainyoke.network import (
    pack_address,
    parse_address,
)

TARGET_CHUNK_BYTES = 32_768  # a change to one service re-sends a whole chunk
MAX_CHUNK_COUNT = 4_096


@dataclass(frozen=True, slots=True)
class ConfigurationDocuments:
    """Encoded documents of one generation.

    Attributes
    ----------
    index_document : bytes
        Index document.
    chunk_documents : dict of str to bytes
        Chunk documents by digest.
    """

    index_document: bytes
    chunk_documents: dict[str, bytes]


def build_documents(
    fleet: FleetFile,
    services: Sequence[ServiceFile],
    *,
    previous: Index | None = None,
) -> Result[ConfigurationDocuments, ConfigurationError]:
    """Build the index and chunk documents of one generation.

    Parameters
    ----------
    fleet : FleetFile
    services : sequence of ServiceFile
    previous : Index, default=None
        Index of the previous build. Its number of chunks is kept unless more than
        twice as many or less than a quarter would be chosen now: another number
        moves services between chunks, and a change to one service would then change
        many chunks.

    Returns
    -------
    Success of ConfigurationDocuments; Failure of StaleGenerationError if the
    generation is not above that of the previous build, or of InvalidFilesError if a
    chunk exceeds ``MAX_DOCUMENT_BYTES``.
    """
    if previous is not None and fleet.generation <= previous.generation:
        return Failure(StaleGenerationError(fleet.generation, previous.generation))
    records = sorted(
        (_build_service_record(service) for service in services), key=_get_record_name
    )
    chunk_count = _choose_chunk_count(records, previous)
    documents = _encode_chunks(records, chunk_count)
    problems = [
        FileProblem("build", "", f"a chunk of {len(document)} bytes is over 1 MB")
        for document in documents
        if len(document) > MAX_DOCUMENT_BYTES
    ]
    if problems:
        return Failure(InvalidFilesError(problems))
    digests = [compute_digest(document) for document in documents]
    index = Index(
        generation=fleet.generation,
        zones=fleet.zones,
        networks=fleet.networks,
        chunks=digests,
    )
    index_document = index.model_dump_json().encode()
    return Success(
        ConfigurationDocuments(
            index_document, dict(zip(digests, documents, strict=True))
        )
    )


def _get_record_name(record: ServiceRecord) -> str:
    return record.name


def _build_service_record(service: ServiceFile) -> ServiceRecord:
    targets = defaultdict(list)
    for target in service.targets:
        targets[target.zone].append(pack_address(parse_address(target.agent)))
    return ServiceRecord(
        name=service.service,
        address=pack_address(parse_address(service.address)),
        slots=service.slots,
        cold_slots=service.cold_slots,
        warm_up_requests=service.warm_up_requests,
        request_timeout_ms=service.request_timeout_ms,
        shed_status=service.shed_status,
        targets={zone: sorted(agents) for zone, agents in sorted(targets.items())},
    )


def _choose_chunk_count(records, previous: Index | None) -> int:
    total_size = sum(len(record.model_dump_json()) for record in records)
    needed = 1
    while needed < MAX_CHUNK_COUNT and total_size / needed > TARGET_CHUNK_BYTES:
        needed *= 2
    if previous is None:
        return needed
    existing = len(previous.chunks)
    return existing if needed <= 2 * existing and existing <= 4 * needed else needed


def _encode_chunks(records, chunk_count: int) -> list[bytes]:
    records_by_chunk: list[list[ServiceRecord]] = [[] for _ in range(chunk_count)]
    for record in records:
        position = compute_chunk_position(compute_service_id(record.name), chunk_count)
        records_by_chunk[position].append(record)
    return [
        Chunk(services=chunk_records).model_dump_json().encode()
        for chunk_records in records_by_chunk
    ]
