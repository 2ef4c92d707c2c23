"""Process of the packet path, without the decisions of its role.

`PacketNode` owns the sockets, tasks, metrics and operators' queries of a balancer or an
agent, and keeps its copy of the catalogue up to date.
"""

import asyncio
import os
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Protocol

import msgspec

from plantainyoke.catalogue import (
    Catalogue,
    CatalogueFollower,
    ConfigurationPage,
    Position,
    StoreUpdate,
    build_page,
)
from plantainyoke.flows import (
    FlowFormatError,
    FlowKey,
    MalformedMessageError,
    Message,
    decode_message,
    format_flow,
    parse_flow,
)
from plantainyoke.hashing import compute_zone_id
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
MAX_PAGE_DIGITS = 9  # far above the pages of any configuration
METRICS_PORT = 9464  # usual port of metrics exporters; the deploy file has the same


def draw_jitter() -> float:
    """Return a random factor from 0.5 to 1.5."""
    return 0.5 + os.urandom(1)[0] / 255


class StoreReader(Protocol):
    """Reads published configurations and targets from the platform's store.

    Attributes
    ----------
    calls : int
        Number of requests to the store.
    is_receiving : bool
        Whether a part of an answer has arrived, and the rest is expected.
    """

    calls: int
    is_receiving: bool

    async def read(self, after: Position) -> StoreUpdate:
        """Return what was written after a position, or a snapshot."""

    def close(self) -> None:
        """Close the connection."""


Query = Callable[[dict[str, str]], dict | msgspec.Struct]
MessageHandler = Callable[[Message, int, float], None]


class PacketNode:
    """Shared parts of a balancer or agent process.

    Parameters
    ----------
    settings : ProcessSettings
    codec : PacketCodec
    reader : StoreReader
    store_errors : tuple of type
        Types of the exceptions that the reader raises if the store fails.
    exit_stack : AsyncExitStack
        Closes the sockets and ends the tasks when the process stops.

    Attributes
    ----------
    metrics : Metrics
    catalogue : Catalogue
    is_ready : bool
        Whether the process has started and is not draining.
    tasks : TaskSet
    socket : DatagramSocket, optional
        Socket for messages, None before `listen_for_messages`.
    follower : CatalogueFollower, optional
        Keeps the catalogue up to date, None before `open_sockets`.
    queries : dict of str to callable
        Handlers of the operators' queries by path.
    addresses : dict of int to Address
        Cached addresses of other processes, by host.
    pause_detector : BootClockPauseDetector
    get_work_time_s : callable
        Returns the time of a request at the target of a host as the role measures it,
        0 if unknown.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        codec: PacketCodec,
        reader: StoreReader,
        store_errors: tuple[type[Exception], ...],
        exit_stack: AsyncExitStack,
    ) -> None:
        self.settings = settings
        self.codec = codec
        self.reader = reader
        self.store_errors = store_errors
        self.exit_stack = exit_stack
        self.metrics = Metrics()
        self.catalogue = Catalogue()
        self.is_ready = False
        self.socket: DatagramSocket | None = None
        self.follower: CatalogueFollower | None = None
        self.queries: dict[str, Query] = {}
        self.addresses: dict[int, Address] = {}
        self.pause_detector = BootClockPauseDetector()
        self.loop = asyncio.get_running_loop()
        self.tasks = TaskSet(self.metrics)
        self.get_work_time_s: Callable[[int], float] = lambda _: 0.0
        self.queries["/status"] = lambda _: self.describe()
        self.queries["/configuration"] = self._serve_configuration_page

    @property
    def can_serve(self) -> bool:
        """Whether the process is ready and none of its essential tasks keeps failing.

        Routers use all balancers of a zone if too few of them can serve.
        """
        return self.is_ready and not self.tasks.failing

    def adopt_grace_period(self, grace_s: float) -> None:
        """Use the grace period in force when the process stops, not that of its start.

        A process that drains for longer is killed with the packets that it has.
        """
        self.settings = msgspec.structs.replace(self.settings, grace_s=grace_s)

    def get_address(self, host: int) -> Address:
        """Return the address at which a host's process receives messages and links."""
        address = self.addresses.get(host)
        if address is None:
            address = format_host(host), self.settings.messages_port
            self.addresses[host] = address
        return address

    def send(self, host: int, datagram: bytes) -> None:
        """Send a message to the process of a host."""
        self.socket.send(datagram, self.get_address(host))

    async def open_sockets(self) -> None:
        """Open the sockets for links, the readiness check, metrics and queries."""
        settings = self.settings
        link_address = settings.ip, settings.messages_port
        handlers = {
            READY_PATH: lambda _: Response(200 if self.can_serve else 503),
            "/metrics": lambda _: self._serve_metrics(),
        }
        self.loop.set_exception_handler(self._record_callback_failure)
        self.exit_stack.push_async_callback(self.tasks.aclose)
        self.exit_stack.callback(self.reader.close)
        self.follower = CatalogueFollower(
            host=settings.host,
            zone=compute_zone_id(settings.zone),
            catalogue=self.catalogue,
            read=self.reader.read,
            store_errors=self.store_errors,
            get_address=self.get_address,
            seeds=settings.seeds,
            metrics=self.metrics,
            jitter=draw_jitter,
            is_receiving=lambda: self.reader.is_receiving,
        )
        self.exit_stack.callback(self.follower.close)
        await self.follower.server.listen(link_address, self.exit_stack)
        server = HttpServer(handlers, self.metrics)
        await server.listen(settings.ready_address, self.exit_stack)
        queries = {
            path: self._make_json_handler(query) for path, query in self.queries.items()
        }
        server = HttpServer({**handlers, **queries}, self.metrics)
        await server.listen((settings.ip, METRICS_PORT), self.exit_stack)

    async def load_catalogue(self) -> None:
        """Start to follow the catalogue, and wait until it is loaded."""
        self.start_essential_task(self.follower.run_reader, name="reader")
        self.start_essential_task(self.follower.run_subscriber, name="subscriber")
        await self.follower.loaded.wait()

    def listen_for_messages(self, receive: MessageHandler) -> None:
        """Open the socket for messages of other processes.

        Parameters
        ----------
        receive : callable
            Called with each message, the host of its sender, and the time in seconds.
        """

        def decode(datagram: bytes, source: Address) -> None:
            try:
                message = decode_message(datagram)
                receive(message, parse_host(source[0]), self.loop.time())
            except (MalformedMessageError, self.codec.error_type) as error:
                self.record_malformed("message", source, error)

        address = self.settings.ip, self.settings.messages_port
        self.socket = DatagramSocket(address, decode, self.metrics)
        self.exit_stack.callback(self.socket.close)

    def record_malformed(self, kind: str, source: Address, error: Exception) -> None:
        """Count and log a datagram that is dropped because it is malformed."""
        self.metrics.counters[f"drop.{kind}_malformed"] += 1
        log_event(f"{kind}_malformed", source=source[0], error=str(error))

    def register_explain_query(self, describe: Callable[[FlowKey], dict]) -> None:
        """Answer ``/explain`` with the state that a role keeps of the given flow."""

        def explain(parameters: dict[str, str]) -> dict:
            try:
                flow = parse_flow(parameters.get("flow", ""))
            except FlowFormatError as error:
                return {"error": str(error)}
            return {"flow": format_flow(flow), **describe(flow)}

        self.queries["/explain"] = explain

    def check_for_pause(self) -> bool:
        """Return whether this process was paused, and age its catalogue if so."""
        gap_s = self.pause_detector.measure_pause_s()
        if gap_s:
            log_event("paused", gap_s=round(gap_s, 2))
            self.metrics.counters["process.paused"] += 1
            self.follower.record_pause(gap_s)
        return bool(gap_s)

    def start_essential_task(
        self, run: Callable[[], Awaitable[None]], *, name: str
    ) -> asyncio.Task:
        """Run a coroutine function until the node closes, again whenever it fails."""
        return self.tasks.start_essential_task(run, name=name)

    def describe(self) -> dict:
        """Return the state that ``plantainyokectl status`` shows."""
        catalogue = self.catalogue
        return {
            "name": self.settings.name,
            "zone": self.settings.zone,
            "ready": self.can_serve,
            "failing_tasks": sorted(self.tasks.failing),
            "epoch": catalogue.epoch,
            "revision": catalogue.revision,
            "version": catalogue.configuration.version,
            "age_s": self.follower.age_s(),
            "source": format_host(self.follower.source),
            "zones_out": sorted(catalogue.zones_out),
            "targets": len(catalogue.targets),
            "store_calls": self.reader.calls,
            "counters": dict(sorted(self.metrics.counters.items())),
        }

    def _record_callback_failure(
        self, loop: asyncio.AbstractEventLoop, context: dict
    ) -> None:
        """Count and log an error in a callback, of one datagram or timer."""
        error = context.get("exception")
        self.tasks.record_failure(context["message"], error)

    def _serve_configuration_page(
        self, parameters: dict[str, str]
    ) -> ConfigurationPage | dict:
        page = parameters.get("page", "0")
        if not (page.isascii() and page.isdigit() and len(page) <= MAX_PAGE_DIGITS):
            return {"error": "page is not a number"}
        return build_page(self.catalogue, int(page), self.get_work_time_s)

    def _make_json_handler(self, query: Query):
        def answer(parameters: dict[str, str]) -> Response:
            body = msgspec.json.encode(query(parameters))
            return Response(200, body, {"content-type": "application/json"})

        return answer

    def _serve_metrics(self) -> Response:
        body = format_metrics(self.metrics).encode()
        return Response(200, body, {"content-type": "text/plain; version=0.0.4"})
