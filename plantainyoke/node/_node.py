"""The role-independent part of a process of the QUIC path.

``start_node`` opens the sockets and starts the tasks that balancers and agents have in
common; the role then registers its handlers on the ``Node``.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

from plantainyoke.configuration import (
    ConfigurationSnapshot,
    ConfigurationState,
    Settings,
)
from plantainyoke.hashing import (
    compute_zone_id,
)
from plantainyoke.network import (
    Address,
    DatagramSocket,
    pack_address,
    parse_address,
    unpack_address,
)
from plantainyoke.node._clock import PauseDetector
from plantainyoke.node._links import LinkPool
from plantainyoke.publication import HostList, PlatformClient
from plantainyoke.telemetry import Metrics, TaskSet
from plantainyoke.wire import (
    AuthenticationError,
    EnvelopeCodec,
    MessageAuthenticator,
    WireError,
)

FLUSH_INTERVAL_S = 1.0
# A zone taken out receives packets for this long, to learn of it and finish requests.
ZONE_GRACE_S = 1.0

ReceiveMessage = Callable[[object, int], None]


@dataclass
class Node:
    """The part of a process that does not depend on its role.

    Attributes
    ----------
    settings : Settings
    address : int
        Packed address of this process.
    zone : int
        Identifier of the zone of this process.
    hosts : HostList
        The latest host list; an update replaces the object.
    handlers : dict of type to callable
        Called with ``(message, source)`` for each envelope of a message type.
    generation_listeners : list of callable
        Called with ``(generation, source)`` for each authentic envelope.
    follower : ConfigurationFollower, optional
    zones_blocked : frozenset of int
        Zones out of service for longer than ``ZONE_GRACE_S``; no packet is sent there.
    has_configuration : bool
        Whether a configuration has been applied.
    received_at : float
        Loop time of the last envelope.
    """

    settings: Settings
    address: int
    zone: int
    metrics: Metrics
    configuration: ConfigurationState
    codec: EnvelopeCodec
    links: LinkPool
    platform: PlatformClient
    pause_detector: PauseDetector
    exit_stack: AsyncExitStack
    hosts: HostList = field(default_factory=HostList)
    handlers: dict[type, ReceiveMessage] = field(default_factory=dict)
    generation_listeners: list[Callable[[int, int], None]] = field(default_factory=list)
    socket: DatagramSocket | None = None
    follower: object | None = None
    zones_blocked: frozenset[int] = frozenset()
    has_configuration: bool = False
    received_at: float = float("-inf")

    def __post_init__(self) -> None:
        self.tasks = TaskSet(self.metrics)

    @property
    def snapshot(self) -> ConfigurationSnapshot:
        """The configuration in force."""
        return self.configuration.snapshot

    @property
    def generation(self) -> int:
        """Generation of the configuration in force."""
        return self.configuration.snapshot.generation

    def find_zone(self, peer: int) -> int | None:
        """Return the zone of the process at a packed address, None if unknown."""
        zone = self.snapshot.zone_by_agent.get(peer)
        return self.hosts.zone_by_address.get(peer) if zone is None else zone

    def is_peer_allowed(self, peer: int) -> bool:
        """Return whether packets may be sent to a process.

        No data, probe, gossip or relayed request is sent into a blocked zone.
        """
        blocked = self.zones_blocked
        return not blocked or self.find_zone(peer) not in blocked

    def apply_zones(self, snapshot: ConfigurationSnapshot) -> None:
        """Block zones taken out of service and unblock zones that return.

        Zones that the first configuration takes out are blocked at once, later ones
        after ``ZONE_GRACE_S``.
        """
        returned = self.zones_blocked - snapshot.zones_out
        if returned:
            self.zones_blocked -= returned
        if not self.has_configuration:
            self.has_configuration = True
            self.zones_blocked = snapshot.zones_out
        elif not snapshot.zones_out <= self.zones_blocked:
            loop = asyncio.get_running_loop()
            loop.call_later(ZONE_GRACE_S, self._block_zones, snapshot.zones_out)

    def _block_zones(self, zones: frozenset[int]) -> None:
        """Block those of the zones that are still out of service."""
        self.zones_blocked |= zones & self.snapshot.zones_out
        self.links.close_disallowed()

    def send(self, datagram: bytes, peer: int, counter: str) -> bool:
        """Send an envelope to a process and count its bytes.

        Parameters
        ----------
        datagram : bytes
        peer : int
            Packed address.
        counter : str
            Name of the counter of bytes, such as ``"bytes.data"``.

        Returns
        -------
        bool
            Whether the envelope was sent.
        """
        if self.zones_blocked and not self.is_peer_allowed(peer):
            self.metrics.count("drop.zone_out")
            return False
        self.metrics.counters[counter] += len(datagram)
        return self.socket.send(datagram, unpack_address(peer))

    def start_task(self, coroutine: Coroutine, *, name: str) -> asyncio.Task:
        """Run a task until the node closes; its failure is logged."""
        return self.tasks.start_task(coroutine, name=name)

    def start_essential_task(
        self, run: Callable[[], Awaitable[None]], *, name: str
    ) -> asyncio.Task:
        """Run a coroutine function until the node closes, again whenever it fails."""
        return self.tasks.start_essential_task(run, name=name)

    def receive(self, datagram: bytes, source: Address) -> None:
        """Authenticate one envelope and pass its message to the handler."""
        self.received_at = self.socket.loop.time()
        self.pause_detector.check(self.received_at)
        try:
            generation, message = self.codec.decode(datagram)
        except AuthenticationError:
            self.metrics.count("drop.envelope_forged")
            return
        except WireError:
            self.metrics.count("drop.envelope_malformed")
            return
        peer = pack_address(source)
        for listener in self.generation_listeners:
            listener(generation, peer)
        handler = self.handlers.get(type(message))
        if handler is None:
            self.metrics.count("drop.envelope_unexpected")
            return
        handler(message, peer)

    def describe(self) -> dict:
        """Return the fields of ``plantainyokectl status`` common to every role."""
        snapshot = self.snapshot
        return {
            "name": self.settings.name,
            "role": self.settings.role,
            "zone": self.settings.zone,
            "generation": snapshot.generation,
            "generation_source": getattr(self.follower, "source", ""),
            "zones_out": sorted(
                snapshot.zone_names[zone] for zone in snapshot.zones_out
            ),
            "platform_calls": self.platform.calls,
            "received_s_ago": round(self.socket.loop.time() - self.received_at, 3),
            "counters": dict(sorted(self.metrics.counters.items())),
        }

    async def _flush_metrics(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.metrics.gauge("generation", self.generation)
            self.metrics.flush()


async def start_node(
    settings: Settings, stack: AsyncExitStack, *, service_id: int | None = None
) -> Node:
    """Open the sockets of a process and start its shared tasks.

    Parameters
    ----------
    settings : Settings
    stack : AsyncExitStack
        Closes the sockets, links, tasks and the platform client.
    service_id : int, default=None
        The only service that this process applies; None for all.
    """
    address = parse_address(settings.listen)
    statsd = parse_address(settings.statsd) if settings.statsd else None
    metrics = Metrics(statsd)
    stack.callback(metrics.close)
    configuration = ConfigurationState(service_id)
    authenticator = MessageAuthenticator(settings.keys.peer_keys)
    platform = await stack.enter_async_context(PlatformClient(settings.platform))
    node = Node(
        settings=settings,
        address=pack_address(address),
        zone=compute_zone_id(settings.zone),
        metrics=metrics,
        configuration=configuration,
        codec=EnvelopeCodec(authenticator),
        links=LinkPool(
            authenticator,
            lambda: node.generation,
            lambda peer: node.is_peer_allowed(peer),
            metrics,
        ),
        platform=platform,
        pause_detector=PauseDetector(),
        exit_stack=stack,
    )
    configuration.listeners.append(node.apply_zones)
    node.socket = DatagramSocket(address, node.receive, metrics)
    stack.callback(node.socket.close)
    await node.links.listen(address)
    stack.push_async_callback(node.links.aclose)
    stack.push_async_callback(node.tasks.aclose)
    node.start_essential_task(node.pause_detector.run, name="pauses")
    node.start_essential_task(node._flush_metrics, name="metrics")
    return node
