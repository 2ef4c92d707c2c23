"""Reading of YAML files into validated models.

Service, settings and key files use the strict base model and address types. Each
error becomes a `FileProblem`, which tells an operator the file and the location.
"""

import ipaddress
from pathlib import Path
from typing import Annotated, TypeVar

import yaml
from pydantic import AfterValidator, BaseModel, ConfigDict, ValidationError
from returns.result import Failure, Result, Success

from plantainyoke.configuration._errors import FileProblem
from plantainyoke.network import (
    parse_address,
)

Model = TypeVar("Model", bound=BaseModel)

# The loader raises the built-in exceptions for values that do not match their tags,
# such as the date 2001-99-99, and for values that are nested too deeply.
YAML_ERRORS = (
    yaml.YAMLError,
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"


class StrictModel(BaseModel):
    """Immutable model that rejects unknown keys and wrong types."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


def check_address(text: str) -> str:
    """Validate ``"host:port"`` and return it unchanged."""
    parse_address(text)
    return text


def check_network(text: str) -> str:
    """Validate an IPv4 network such as ``"10.0.0.0/8"`` and return it unchanged."""
    ipaddress.IPv4Network(text)
    return text


AddressText = Annotated[str, AfterValidator(check_address)]
NetworkText = Annotated[str, AfterValidator(check_network)]


class _UniqueKeyLoader(yaml.SafeLoader):
    """YAML loader that rejects mappings with duplicate keys."""

    def construct_mapping(self, node, deep=False):
        seen_keys = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=deep)
            if key in seen_keys:
                raise yaml.constructor.ConstructorError(
                    None, None, f"key {key!r} appears twice", key_node.start_mark
                )
            seen_keys.add(key)
        return super().construct_mapping(node, deep)


def read_model(path: Path, model: type[Model]) -> Result[Model, list[FileProblem]]:
    """Read a YAML file and return its model or all of its errors.

    Parameters
    ----------
    path : Path
    model : type
        Model that the content is validated against.
    """
    try:
        content = yaml.load(path.read_text(encoding="utf-8"), _UniqueKeyLoader)
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "not a UTF-8 text file"
        return Failure([FileProblem(path.name, "", reason)])
    except YAML_ERRORS as error:
        return Failure([_convert_yaml_error(path, error)])
    try:
        return Success(model.model_validate(content))
    except ValidationError as error:
        return Failure(
            [_convert_model_error(path, details) for details in error.errors()]
        )


def _convert_yaml_error(path: Path, error: Exception) -> FileProblem:
    mark = getattr(error, "problem_mark", None)
    location = f"line {mark.line + 1}" if mark is not None else ""
    problem = getattr(error, "problem", None) or "not valid YAML"
    return FileProblem(path.name, location, " ".join(str(problem).split()))


def _convert_model_error(path: Path, details) -> FileProblem:
    location = ".".join(str(part) for part in details["loc"])
    return FileProblem(path.name, location, " ".join(details["msg"].split()))
