"""Schema and loading of the settings and key files of the QUIC path's processes.

Every process has a settings file; the processes of a fleet share the keys, which may be
in a separate file.
"""

from pathlib import Path
from typing import Annotated, Literal

from pydantic import AfterValidator, Field, model_validator
from returns.result import Failure, Result, Success

from plantainyoke.configuration._errors import InvalidFilesError
from plantainyoke.configuration._service_files import Name
from plantainyoke.configuration._validation import (
    AddressText,
    StrictModel,
    read_model,
)
from plantainyoke.routing import RoutingKey

PEER_KEY_PATTERN = r"^[0-9a-f]{32,128}$"
ROUTING_KEY_PATTERN = r"^[0-9a-f]{32}$"


class InvalidSettingError(ValueError):
    """A setting is not valid or contradicts another setting."""


def _check_http_url(text: str) -> str:
    if not text.startswith(("http://", "https://")):
        raise InvalidSettingError("must start with http:// or https://")
    return text.rstrip("/")


HttpUrl = Annotated[str, AfterValidator(_check_http_url)]


class RoutingKeySettings(StrictModel):
    """One key that encrypts connection IDs.

    Attributes
    ----------
    rotation : int
        Rotation number that connection IDs carry to select the key.
    secret : str
        AES key in hexadecimal, 16 bytes.
    """

    rotation: int = Field(ge=0, le=6)
    secret: str = Field(pattern=ROUTING_KEY_PATTERN)


class KeySettings(StrictModel):
    """Keys that all processes of one fleet share.

    Attributes
    ----------
    peer : list of str
        Hexadecimal keys that authenticate the messages between processes. The first
        key signs, every key verifies; there are two during a rotation.
    routing : list of RoutingKeySettings
        Keys of the connection IDs. The first key encrypts new IDs, every key
        decrypts; there are two during a rotation.
    """

    peer: list[Annotated[str, Field(pattern=PEER_KEY_PATTERN)]] = Field(
        min_length=1, max_length=2
    )
    routing: list[RoutingKeySettings] = Field(min_length=1, max_length=2)

    @model_validator(mode="after")
    def _check_rotations(self):
        rotations = [key.rotation for key in self.routing]
        if len(set(rotations)) != len(rotations):
            raise InvalidSettingError(
                f"routing keys share a rotation number: {rotations}"
            )
        return self

    @property
    def peer_keys(self) -> list[bytes]:
        """Peer keys as bytes."""
        return [bytes.fromhex(key) for key in self.peer]

    @property
    def routing_keys(self) -> list[RoutingKey]:
        """Routing keys in the form that `ConnectionIdCodec` requires."""
        return [
            RoutingKey(key.rotation, bytes.fromhex(key.secret)) for key in self.routing
        ]


class BalancerSettings(StrictModel):
    """Settings of the balancer role.

    Attributes
    ----------
    service_port_offset : int, default=0
        Added to each service's port when binding, so that several balancers can run
        on one host behind a fabric that knows the offset.
    first_packets_per_s : int, default=2000
        Rate of Initial packets above which they are dropped.
    """

    service_port_offset: int = Field(default=0, ge=0, le=50_000)
    first_packets_per_s: int = Field(default=2_000, ge=1)


class AgentSettings(StrictModel):
    """Settings of the agent role.

    Attributes
    ----------
    service : str
        Name of the service that the upstream runs.
    upstream : str
        Base URL of the upstream beside this agent.
    certificate, private_key : str
        Paths of PEM files.
    max_connections : int, default=4000
        Maximum number of open connections of callers.
    record_capacity : int, default=10000
        Maximum number of idempotency records.
    record_retention_s : float, default=300.0
        Minimum time in seconds for which a finished record is kept if there is room.
    drain_timeout_s : float, default=20.0
        Maximum duration of a graceful shutdown in seconds.
    """

    service: Name
    upstream: HttpUrl
    certificate: str
    private_key: str
    max_connections: int = Field(default=4_000, ge=1)
    record_capacity: int = Field(default=10_000, ge=1)
    record_retention_s: float = Field(default=300.0, gt=0)
    drain_timeout_s: float = Field(default=20.0, gt=0)


class Settings(StrictModel):
    """Settings of one process.

    Attributes
    ----------
    name : str
    role : {"balancer", "agent"}
    zone : str
        Availability zone of this process.
    listen : str
        UDP and TCP address for messages from the other processes of the system.
    control : str, optional
        Loopback address that serves ``plantainyokectl status`` and ``explain``.
    platform : str
        Base URL of the configuration service.
    seeds : list of str
        Addresses of processes that are asked for the configuration at the start,
        together with the platform, which may be unreachable.
    keys : KeySettings or str
        The keys, or the path of a YAML file that holds them.
    statsd : str, optional
        Address of the statsd server for metrics.
    log_level : {"debug", "info", "warning", "error"}, default="info"
    balancer : BalancerSettings
    agent : AgentSettings, optional
        Required for the role agent, not allowed for the role balancer.
    """

    name: Name
    role: Literal["balancer", "agent"]
    zone: Name
    listen: AddressText
    control: AddressText | None = None
    platform: HttpUrl
    seeds: list[AddressText] = Field(default_factory=list)
    keys: KeySettings | str
    statsd: AddressText | None = None
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    balancer: BalancerSettings = BalancerSettings()
    agent: AgentSettings | None = None

    @model_validator(mode="after")
    def _check_role(self):
        if self.role == "agent" and self.agent is None:
            raise InvalidSettingError("role agent needs the section 'agent'")
        if self.role == "balancer" and self.agent is not None:
            raise InvalidSettingError("role balancer takes no section 'agent'")
        return self


def load_settings(path: Path) -> Result[Settings, InvalidFilesError]:
    """Read a settings file and the key file that it refers to.

    Relative paths in the settings file are resolved against its directory.
    """
    result = read_model(path, Settings)
    if isinstance(result, Failure):
        return Failure(InvalidFilesError(result.failure()))
    settings = _resolve_paths(result.unwrap(), path.parent)
    if isinstance(settings.keys, KeySettings):
        return Success(settings)
    return load_keys(Path(settings.keys)).map(
        lambda keys: settings.model_copy(update={"keys": keys})
    )


def load_keys(path: Path) -> Result[KeySettings, InvalidFilesError]:
    """Read a key file."""
    return read_model(path, KeySettings).alt(InvalidFilesError)


def _resolve_paths(settings: Settings, directory: Path) -> Settings:
    update = {}
    if isinstance(settings.keys, str):
        update["keys"] = str(directory / settings.keys)
    if settings.agent is not None:
        agent = settings.agent
        update["agent"] = agent.model_copy(
            update={
                "certificate": str(directory / agent.certificate),
                "private_key": str(directory / agent.private_key),
            }
        )
    return settings.model_copy(update=update)
