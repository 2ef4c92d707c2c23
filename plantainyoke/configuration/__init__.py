"""Settings, service files, published documents and the configuration in force."""

from plantainyoke.configuration._build import BuiltConfiguration, build_configuration
from plantainyoke.configuration._documents import (
    MAX_VALUE_SIZE,
    Chunk,
    Index,
    ServiceRecord,
    chunk_position,
    digest_of,
    parse_chunk,
    parse_index,
)
from plantainyoke.configuration._errors import (
    ConfigurationError,
    DocumentError,
    Fault,
    FaultsError,
    GenerationError,
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
    load_settings,
    read_keys,
)
from plantainyoke.configuration._snapshot import Service, Snapshot, TargetRecord
from plantainyoke.configuration._store import ConfigurationStore, Offer

__all__ = [
    "MAX_VALUE_SIZE",
    "AgentSettings",
    "BalancerSettings",
    "BuiltConfiguration",
    "Chunk",
    "ConfigurationError",
    "ConfigurationStore",
    "DocumentError",
    "Fault",
    "FaultsError",
    "FleetFile",
    "GenerationError",
    "Index",
    "KeySettings",
    "Offer",
    "Service",
    "ServiceFile",
    "ServiceRecord",
    "Settings",
    "Snapshot",
    "TargetEntry",
    "TargetRecord",
    "build_configuration",
    "chunk_position",
    "digest_of",
    "load_fleet",
    "load_settings",
    "parse_chunk",
    "parse_index",
    "read_keys",
]
