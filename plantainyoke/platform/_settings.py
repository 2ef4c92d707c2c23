"""Reader of the settings file that the platform writes for each process.

Validates the file and translates its keys into `ProcessSettings`. Unknown keys are
ignored.
"""

import os
import tomllib
from typing import Annotated

import msgspec

from plantainyoke.network import parse_address, parse_host
from plantainyoke.packet_node import FeatureSettings, ProcessSettings

# Settings are TOML, which has infinity and NaN, neither of which can be computed with.
MAX_LIMIT = 1e9
Limit = Annotated[float, msgspec.Meta(ge=0, le=MAX_LIMIT)]


class SettingsError(Exception):
    """The settings file is missing, unreadable or invalid."""


class PortRangeError(ValueError):
    """``internalPorts`` is not a range of two ports or more."""

    def __init__(self, ports: list[int]) -> None:
        super().__init__(ports)
        self.ports = ports

    def __str__(self) -> str:
        return f"internalPorts {self.ports} is not a range of two ports or more"


class _Listen(msgspec.Struct, rename="camel"):
    packet_addr: str
    ready: str
    outbound: str | None = None  # where an agent receives what its target sends
    control: str | None = None


class _Bounds(msgspec.Struct, rename="camel"):
    grace_s: Limit = 6.0
    cold_overshoot: Limit = 1.5
    cold_slack: Limit = 5.0
    config_apply_ms: Limit = 6000.0


class _Store(msgspec.Struct, rename="camel"):
    address: str


class _File(msgspec.Struct, rename="camel"):
    node_name: str
    ip: str
    zone: str
    internal_ports: list[int]
    listen: _Listen
    platform: _Store
    seeds: list[str] = []
    bootstrap: bool = False
    heartbeat_ms: Limit = 1000.0
    app: str | None = None  # address of an agent's target
    service: str | None = None
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    features: FeatureSettings = FeatureSettings()


def load_process_settings(path: str | os.PathLike) -> ProcessSettings:
    """Read and validate a settings file.

    Raises
    ------
    SettingsError
        If the file cannot be read, or a setting is missing or invalid.
    """
    try:
        with open(path, "rb") as stream:
            document = tomllib.load(stream)
        file = msgspec.convert(document, _File)
        return _translate(file)
    except (OSError, ValueError, msgspec.ValidationError, RecursionError) as error:
        raise SettingsError(f"{path}: {error}") from error


def _translate(file: _File) -> ProcessSettings:
    if len(file.internal_ports) != 2 or not (
        0 < file.internal_ports[0] < file.internal_ports[1] < 65_536
    ):
        raise PortRangeError(file.internal_ports)
    listen = file.listen
    return ProcessSettings(
        name=file.node_name,
        host=parse_host(file.ip),
        ip=file.ip,
        zone=file.zone,
        packet_address=parse_address(listen.packet_addr),
        target_output_address=parse_address(listen.outbound)
        if listen.outbound
        else None,
        target_address=parse_address(file.app) if file.app else None,
        service=file.service or "",
        ready_address=parse_address(listen.ready),
        messages_port=file.internal_ports[0],
        seeds=tuple(parse_host(parse_address(seed)[0]) for seed in file.seeds),
        store_address=parse_address(file.platform.address),
        is_bootstrap=file.bootstrap,
        heartbeat_s=file.heartbeat_ms / 1000,
        grace_s=file.bounds.grace_s,
        cold_overshoot_factor=file.bounds.cold_overshoot,
        cold_extra_flows_per_s=file.bounds.cold_slack,
        configuration_apply_s=file.bounds.config_apply_ms / 1000,
        features=file.features,
    )
