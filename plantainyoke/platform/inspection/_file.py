"""Translation of a configuration file entry by entry, with the place of each error.

An invalid entry is reported and left out, so that the other entries can be checked in
the same run.
"""

import re
from collections.abc import Callable
from functools import cache
from typing import TypeVar

import msgspec

from plantainyoke.catalogue import Route, RouteConfiguration, ServiceLimits
from plantainyoke.network import format_host, parse_host
from plantainyoke.platform._configuration import (
    ConfigurationEntry,
    LimitsEntry,
    RouteEntry,
    ServiceEntry,
    ShareEntry,
    parse_port,
    translate_route,
    translate_service,
)
from plantainyoke.platform._entries import EntryError, parse_configuration
from plantainyoke.validation import ERROR, WARNING, Finding, Place

MAX_VALUE_BYTES = 1_000_000  # the store refuses larger values (docs/CAPACITY.md)
PORT_PATTERN = re.compile(r"/?-?[0-9]+/?")
PATH_PATTERN = re.compile(r"\.(\w+)|\[([0-9]+)\]")
ENTRY_LISTS = ("routes", "services")
# Names of the fields in the file by the names that the checks use.
FIELD_NAMES = {
    "host": "hostname",
    "port": "prefix",
    "shares": "trafficSplit",
    "aim_s": "aimMs",
    "timeout_s": "timeoutMs",
    "max_flows": "maxConns",
    "cold_start_s": "coldStartS",
    "cold_flows_per_s": "coldPerS",
}

# Without the cache, a file of 4,000 routes takes several times as long.
list_fields = cache(msgspec.structs.fields)
Entry = TypeVar("Entry", bound=msgspec.Struct)
AddFinding = Callable[[Finding], None]


class InspectedFile(msgspec.Struct):
    """A configuration file with the errors of its format.

    Attributes
    ----------
    findings : list of Finding
        Errors of the format. Their places are those of the file.
    configuration : RouteConfiguration or None
        The valid entries; None if the file is no JSON object.
    route_positions : list of int
        Position in the file of each route of the configuration.
    service_positions : dict of str to int
        Position in the file of each service of the configuration.
    single_services : set of int
        Positions of the routes that name one service instead of a split.
    is_accepted : bool
        Whether processes accept the file; the configuration is then complete.
    """

    findings: list[Finding] = msgspec.field(default_factory=list)
    configuration: RouteConfiguration | None = None
    route_positions: list[int] = msgspec.field(default_factory=list)
    service_positions: dict[str, int] = msgspec.field(default_factory=dict)
    single_services: set[int] = msgspec.field(default_factory=set)
    is_accepted: bool = False

    def locate(self, finding: Finding) -> Finding:
        """Return a finding of a check of the configuration with its place in the file.

        Parameters
        ----------
        finding : Finding
            Its place is that of `RouteConfiguration`.
        """
        return msgspec.structs.replace(finding, place=self._translate(finding.place))

    def _translate(self, place: Place) -> Place:
        if place == ("idle_timeout_s",):
            return "limits", "idleTimeoutMs"
        if len(place) < 2:
            return place
        kind, position, *fields = place
        if kind == "services":
            position = self.service_positions[position]
        else:
            position = self.route_positions[position]
        if fields[:1] == ["shares"] and position in self.single_services:
            return kind, position, "service"
        return kind, position, *(FIELD_NAMES.get(name, name) for name in fields)


def is_configuration(content: bytes) -> bool:
    """Return whether the content of a file looks like an operators' configuration."""
    return content.lstrip()[:1] == b"{" and b'"routes"' in content


def inspect_configuration(content: bytes) -> InspectedFile:
    """Translate a configuration file and find every error of its format.

    Parameters
    ----------
    content : bytes
        Any bytes.
    """
    inspected = InspectedFile()
    add = inspected.findings.append
    if len(content) > MAX_VALUE_BYTES:
        text = f"has {len(content)} bytes; the store accepts {MAX_VALUE_BYTES}"
        add(Finding("file_too_large", WARNING, (), text))
    try:
        document = msgspec.json.decode(content)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        add(Finding("json_invalid", ERROR, (), str(error)))
        return inspected
    if isinstance(document, dict):
        _translate_document(document, inspected)
    else:
        add(Finding("type_invalid", ERROR, (), "is not a JSON object"))
    _check_acceptance(content, inspected)
    return inspected


def _check_acceptance(content: bytes, inspected: InspectedFile) -> None:
    """Record whether processes accept the file; report a reason that is not found yet.

    The check is by the decoder of the processes, so that it never calls a file valid
    that they reject.
    """
    try:
        parse_configuration(content)
        inspected.is_accepted = True
    except EntryError as error:
        if not any(finding.severity == ERROR for finding in inspected.findings):
            finding = Finding("configuration_rejected", ERROR, (), str(error))
            inspected.findings.append(finding)


def _translate_document(document: dict, inspected: InspectedFile) -> None:
    add = inspected.findings.append
    header = _read_fields(document, ConfigurationEntry, (), add, skip=ENTRY_LISTS)
    routes = _translate_routes(document, inspected)
    services = _translate_services(document, inspected)
    # A file without a readable version is checked as if it had a valid one.
    inspected.configuration = RouteConfiguration(
        header.get("version", 1),
        tuple(routes),
        services,
        header.get("limits", LimitsEntry()).idle_timeout_ms / 1000,
    )


def _translate_routes(document: dict, inspected: InspectedFile) -> list[Route]:
    add = inspected.findings.append
    routes = []
    for position, entry in _read_list(document, "routes", RouteEntry, (), add):
        place = ("routes", position)
        _check_port(entry.prefix, (*place, "prefix"), add)
        _check_host(entry.hostname, (*place, "hostname"), add)
        if entry.traffic_split and entry.service:
            text = f"{entry.service!r} has no effect beside trafficSplit"
            add(Finding("service_ignored", WARNING, (*place, "service"), text))
        try:
            routes.append(translate_route(entry))
        except (ValueError, OSError):
            continue  # reported by the two checks above
        inspected.route_positions.append(position)
        if not entry.traffic_split:
            inspected.single_services.add(position)
    return routes


def _translate_services(
    document: dict, inspected: InspectedFile
) -> dict[str, ServiceLimits]:
    add = inspected.findings.append
    services, positions = {}, inspected.service_positions
    for position, entry in _read_list(document, "services", ServiceEntry, (), add):
        if entry.name in services:
            place = ("services", positions[entry.name])
            text = (
                f"service {entry.name!r} never acts: services[{position}] has the "
                "same name, and the last one is in force"
            )
            add(Finding("service_shadowed", ERROR, place, text))
        services[entry.name] = translate_service(entry)
        positions[entry.name] = position
    return services


def _check_port(prefix: str, place: Place, add: AddFinding) -> None:
    try:
        port = parse_port(prefix)
    except ValueError:
        text = f"{prefix!r} has no port; it is written like '/443/'"
        add(Finding("port_invalid", ERROR, place, text))
        return
    if not PORT_PATTERN.fullmatch(prefix):
        text = f"{prefix!r} is read as port {port}"
        add(Finding("port_ambiguous", WARNING, place, text))


def _check_host(hostname: str, place: Place, add: AddFinding) -> None:
    try:
        host = parse_host(hostname)
    except (ValueError, OSError):
        text = f"{hostname!r} is not an IPv4 address"
        add(Finding("address_invalid", ERROR, place, text))
        return
    if format_host(host) != hostname:
        text = f"{hostname!r} is read as {format_host(host)}"
        add(Finding("address_ambiguous", WARNING, place, text))


def _read_list(
    document: dict, name: str, kind: type[Entry], place: Place, add: AddFinding
) -> list[tuple[int, Entry]]:
    """Return the valid entries of a list with their positions; report the others."""
    place = (*place, name)
    if name not in document:
        add(Finding("field_missing", ERROR, place, "is missing"))
        return []
    items = document[name]
    if not isinstance(items, list):
        add(Finding("type_invalid", ERROR, place, "is not a list"))
        return []
    entries = []
    for position, item in enumerate(items):
        entry = _read_entry(item, kind, (*place, position), add)
        if entry is not None:
            entries.append((position, entry))
    return entries


def _read_entry(
    item: object, kind: type[Entry], place: Place, add: AddFinding
) -> Entry | None:
    """Return an entry, None if one of its fields is invalid, which is reported."""
    if not isinstance(item, dict):
        add(Finding("type_invalid", ERROR, place, "is not a JSON object"))
        return None
    errors: list[Finding] = []
    values = _read_fields(item, kind, place, errors.append)
    for finding in errors:
        add(finding)
    return None if errors else kind(**values)


def _read_fields(
    document: dict,
    kind: type[msgspec.Struct],
    place: Place,
    add: AddFinding,
    *,
    skip: tuple[str, ...] = (),
) -> dict[str, object]:
    """Return the valid fields of an object by attribute name; report the others."""
    values = {}
    for field in list_fields(kind):
        name, field_place = field.encode_name, (*place, field.encode_name)
        if field.name in skip:
            continue
        if name not in document:
            if field.required:
                add(Finding("field_missing", ERROR, field_place, "is missing"))
            continue
        if field.type == list[ShareEntry] and isinstance(document[name], list):
            entries = _read_list(document, name, ShareEntry, place, add)
            values[field.name] = [entry for _, entry in entries]
            continue
        try:
            values[field.name] = msgspec.convert(document[name], field.type)
        except (msgspec.ValidationError, OverflowError) as error:
            add(_describe_type_error(error, field_place))
    return values


def _describe_type_error(error: Exception, place: Place) -> Finding:
    """Return an error of a conversion with the place that its message ends with."""
    text, _, path = str(error).partition(" - at `$")
    parts = tuple(
        int(index) if index else name for name, index in PATH_PATTERN.findall(path)
    )
    return Finding("type_invalid", ERROR, (*place, *parts), text)
