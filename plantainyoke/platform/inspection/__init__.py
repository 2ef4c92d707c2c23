"""Inspection of the operators' configuration as a file, for ``plantainyokectl check``.

Finds every error of a file with its place, which the processes do not need: they
reject an invalid configuration as a whole. They do not import this package, since it
would lengthen their start.
"""

from plantainyoke.platform.inspection._file import (
    InspectedFile,
    inspect_configuration,
    is_configuration,
)

__all__ = ["InspectedFile", "inspect_configuration", "is_configuration"]
