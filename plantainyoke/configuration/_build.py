"""Turns service files into the documents that are published."""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from plantainyoke.configuration._documents import (
    MAX_DOCUMENT_BYTES,
    Chunk,
    Index,
    ServiceRecord,
    chunk_position,
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
    service_identifier,
)
from plantainyoke.network import (
    pack_address,
    parse_address,
)

CHUNK_TARGET_SIZE = 32_768  # bytes; one changed service re-sends one chunk
MAX_CHUNK_COUNT = 4_096


@dataclass(frozen=True, slots=True)
class ConfigurationDocuments:
    """Documents of one generation.

    Attributes
    ----------
    index_document : bytes
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
    """Build the index and chunks of one generation.

    Parameters
    ----------
    fleet : FleetFile
    services : sequence of ServiceFile
    previous : Index, default=None
        The index in force; its chunk count is kept where the sizes allow, so
        that one changed service changes one chunk.
    """
    if previous is not None and fleet.generation <= previous.generation:
        return Failure(StaleGenerationError(fleet.generation, previous.generation))
    records = sorted((_service_record(item) for item in services), key=_record_name)
    count = _chunk_count(records, previous)
    documents = _chunk_documents(records, count)
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
    encoded = index.model_dump_json().encode()
    return Success(
        ConfigurationDocuments(encoded, dict(zip(digests, documents, strict=True)))
    )


def _record_name(record: ServiceRecord) -> str:
    return record.name


def _service_record(service: ServiceFile) -> ServiceRecord:
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


def _chunk_count(records, previous: Index | None) -> int:
    size = sum(len(record.model_dump_json()) for record in records)
    wanted = 1
    while wanted < MAX_CHUNK_COUNT and size / wanted > CHUNK_TARGET_SIZE:
        wanted *= 2
    if previous is None:
        return wanted
    kept = len(previous.chunks)
    return kept if wanted <= 2 * kept and kept <= 4 * wanted else wanted


def _chunk_documents(records, count: int) -> list[bytes]:
    shares: list[list[ServiceRecord]] = [[] for _ in range(count)]
    for record in records:
        position = chunk_position(service_identifier(record.name), count)
        shares[position].append(record)
    return [Chunk(services=share).model_dump_json().encode() for share in shares]
