"""What a balancer and an agent of the packet path have in common."""

import asyncio
import os
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from plantainyoke.catalogue import Catalogue, CatalogueFollower, StoreUpdate
from plantainyoke.flows import (
    FlowFormatError,
    FlowKey,
    MalformedMessageError,
    Message,
    decode_message,
    format_flow,
    parse_flow,
)
from plantainyoke.hashing import zone_identifier
from plantainyoke.network import (
    Address,
    DatagramSocket,
    HttpServer,
    Response,
    format_host,
    parse_host,
)
from plantainyoke.packet_node._codec import PacketCodec
from plantainyoke.packet_node._pause import BootClockPauseDetector
from plantainyoke.packet_node._settings import ProcessSettings
from plantainyoke.telemetry import Metrics, TaskSet, format_metrics, log_event

READY_PATH = "/api/ready"
METRICS_PORT = 9464  # as the deploy file names it; the usual port of exporters


def draw_jitter() -> float:
    """Return a random factor from 0.5 to 1.5."""
    return 0.5 + os.urandom(1)[0] / 255


class StoreReader(Protocol):
    """Reads what is published."""

    calls: int

    async def read(self) -> StoreUpdate:
        """Return what is new since the last call."""

    def close(self) -> None:
        """Drop the connection."""


ReceiveMessage = Callable[[Message, int, float], None]


@dataclass
class PacketNode:
    """One process of the packet path, without its role.

    Attributes
    ----------
    settings : ProcessSettings
    codec : PacketCodec
    reader : StoreReader
    store_errors : tuple of type
        Exceptions with which the reader fails.
    is_ready : bool
        Whether the process can serve.
    """

    settings: ProcessSettings
    codec: PacketCodec
    reader: StoreReader
    store_errors: tuple[type[Exception], ...]
    stack: AsyncExitStack
    metrics: Metrics = field(default_factory=Metrics)
    catalogue: Catalogue = field(default_factory=Catalogue)
    is_ready: bool = False
    socket: DatagramSocket | None = None
    follower: CatalogueFollower | None = None
    queries: dict[str, Callable[[dict[str, str]], dict]] = field(default_factory=dict)
    addresses: dict[int, Address] = field(default_factory=dict)
    pause_detector: BootClockPauseDetector = field(
        default_factory=BootClockPauseDetector
    )

    def __post_init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.tasks = TaskSet(self.metrics)
        self.queries["/status"] = lambda _: self.describe()

    def address_of(self, host: int) -> Address:
        """Return where a host's process receives messages and links."""
        address = self.addresses.get(host)
        if address is None:
            address = format_host(host), self.settings.messages_port
            self.addresses[host] = address
        return address

    def send(self, host: int, datagram: bytes) -> None:
        """Send a message to another process."""
        self.socket.send(datagram, self.address_of(host))

    async def open_sockets(self) -> None:
        """Open all sockets but that of the callers' packets."""
        settings = self.settings
        links = settings.ip, settings.messages_port
        handlers = {
            READY_PATH: lambda _: Response(200 if self.is_ready else 503),
            "/metrics": lambda _: self._answer_metrics(),
        }
        self.stack.push_async_callback(self.tasks.aclose)
        self.stack.callback(self.reader.close)
        self.follower = CatalogueFollower(
            host=settings.host,
            zone=zone_identifier(settings.zone),
            catalogue=self.catalogue,
            read=self.reader.read,
            store_errors=self.store_errors,
            address_of=self.address_of,
            seeds=settings.seeds,
            metrics=self.metrics,
            jitter=draw_jitter,
        )
        await self.follower.server.listen(links, self.stack)
        server = HttpServer(handlers, self.metrics)
        await server.listen(settings.ready_address, self.stack)
        queries = {path: self._wrap(query) for path, query in self.queries.items()}
        server = HttpServer({**handlers, **queries}, self.metrics)
        await server.listen((settings.ip, METRICS_PORT), self.stack)

    async def load_catalogue(self) -> None:
        """Wait for the first catalogue."""
        self.start_task(self.follower.run_reader(), name="reader")
        self.start_task(self.follower.run_subscriber(), name="subscriber")
        await self.follower.loaded.wait()

    def listen_for_messages(self, receive: ReceiveMessage) -> None:
        """Receive the messages of other processes from now on."""

        def decode(datagram: bytes, source: Address) -> None:
            try:
                message = decode_message(datagram)
                receive(message, parse_host(source[0]), self.loop.time())
            except (MalformedMessageError, self.codec.error_type) as error:
                self.record_malformed("message", source, error)

        address = self.settings.ip, self.settings.messages_port
        self.socket = DatagramSocket(address, decode, self.metrics)
        self.stack.callback(self.socket.close)

    def record_malformed(self, kind: str, source: Address, error: Exception) -> None:
        """Count and log a datagram that is dropped because it cannot be read."""
        self.metrics.counters[f"drop.{kind}_malformed"] += 1
        log_event(f"{kind}_malformed", source=source[0], error=str(error))

    def register_explain_query(self, describe: Callable[[FlowKey], dict]) -> None:
        """Answer ``/explain`` with what a role knows of the flow asked for."""

        def explain(parameters: dict[str, str]) -> dict:
            try:
                flow = parse_flow(parameters.get("flow", ""))
            except FlowFormatError as error:
                return {"error": str(error)}
            return {"flow": format_flow(flow), **describe(flow)}

        self.queries["/explain"] = explain

    def check_for_pause(self) -> bool:
        """Tell whether this process stood still; its view has aged meanwhile."""
        gap_s = self.pause_detector.measure_pause_s()
        if gap_s:
            log_event("paused", gap_s=round(gap_s, 2))
            self.metrics.counters["process.paused"] += 1
            self.follower.record_pause(gap_s)
        return bool(gap_s)

    def start_task(self, coroutine: Coroutine, *, name: str) -> asyncio.Task:
        """Run a task until the node closes; its failure is logged."""
        return self.tasks.start_task(coroutine, name=name)

    def describe(self) -> dict:
        """Return what ``plantainyokectl status`` shows."""
        catalogue = self.catalogue
        return {
            "name": self.settings.name,
            "zone": self.settings.zone,
            "ready": self.is_ready,
            "revision": catalogue.revision,
            "version": catalogue.configuration.version,
            "age_s": self.follower.age_s(),
            "source": format_host(self.follower.source),
            "zones_out": sorted(catalogue.zones_out),
            "targets": len(catalogue.targets),
            "store_calls": self.reader.calls,
            "counters": dict(sorted(self.metrics.counters.items())),
        }

    def _wrap(self, query: Callable[[dict[str, str]], dict]):
        def answer(parameters: dict[str, str]) -> Response:
            body = msgspec.json.encode(query(parameters))
            return Response(200, body, {"content-type": "application/json"})

        return answer

    def _answer_metrics(self) -> Response:
        body = format_metrics(self.metrics).encode()
        return Response(200, body, {"content-type": "text/plain; version=0.0.4"})
