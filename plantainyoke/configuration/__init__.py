"""Configuration of the QUIC path, from files to the configuration in force.

Reads service, settings and key files, builds the published documents from service
files, and keeps the verified configuration that a process applies.
"""

from plantainyoke.configuration._build import ConfigurationDocuments, build_documents
from plantainyoke.configuration._documents import (
    MAX_DOCUMENT_BYTES,
    Chunk,
    Index,
    ServiceRecord,
    compute_chunk_position,
    compute_digest,
    parse_chunk,
    parse_index,
)
from plantainyoke.configuration._errors import (
    ConfigurationError,
    DocumentError,
    FileProblem,
    InvalidFilesError,
    StaleGenerationError,
)
from plantainyoke.configuration._service_files import (
    FleetFile,
    ServiceFile,
    TargetEntry,
    load_fleet,
)
from plantainyoke.configuration._settings import (
    AgentSettings,
    BalancerSettings,
    KeySettings,
    Settings,
    load_keys,
    load_settings,
)
from plantainyoke.configuration._snapshot import (
    ConfigurationSnapshot,
    Service,
    ServiceTarget,
)
from plantainyoke.configuration._state import ConfigurationState, PendingIndex

__all__ = [
    "MAX_DOCUMENT_BYTES",
    "AgentSettings",
    "BalancerSettings",
    "Chunk",
    "ConfigurationDocuments",
    "ConfigurationError",
    "ConfigurationSnapshot",
    "ConfigurationState",
    "DocumentError",
    "FileProblem",
    "FleetFile",
    "Index",
    "InvalidFilesError",
    "KeySettings",
    "PendingIndex",
    "Service",
    "ServiceFile",
    "ServiceRecord",
    "ServiceTarget",
    "Settings",
    "StaleGenerationError",
    "TargetEntry",
    "build_documents",
    "compute_chunk_position",
    "compute_digest",
    "load_fleet",
    "load_keys",
    "load_settings",
    "parse_chunk",
    "parse_index",
]
