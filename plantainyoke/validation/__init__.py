"""Checks of configurations before they are published.

Each check is a function of the configuration that returns findings: entries that can
never act, contradictory limits, and differences from the configuration in force with
their effect on open flows. Nothing here reads a process or prints.
"""

from plantainyoke.validation._comparison import compare_configurations
from plantainyoke.validation._configuration import check_configuration
from plantainyoke.validation._finding import (
    ERROR,
    NOTICE,
    WARNING,
    Finding,
    Place,
    escape_unprintable,
    format_finding,
    format_place,
)
from plantainyoke.validation._service_files import (
    ServiceFilesReport,
    check_directory,
    check_service,
)

__all__ = [
    "ERROR",
    "NOTICE",
    "WARNING",
    "Finding",
    "Place",
    "ServiceFilesReport",
    "check_configuration",
    "check_directory",
    "check_service",
    "compare_configurations",
    "escape_unprintable",
    "format_finding",
    "format_place",
]
