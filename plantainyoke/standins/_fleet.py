"""Fleet of the QUIC path in one process, on loopback addresses.

`EmbeddedFleet` starts balancers and agents with fake upstreams, a fake platform and a
lossy network, so that a test can stop any of them and read its state directly.
"""

import asyncio
import random
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path

from plantainyoke.agent import Agent, start_agent
from plantainyoke.balancer import Balancer, start_balancer
from plantainyoke.caller import Session, SessionOptions
from plantainyoke.configuration import (
    AgentSettings,
    BalancerSettings,
    ConfigurationDocuments,
    FleetFile,
    KeySettings,
    ServiceFile,
    Settings,
    build_documents,
)
from plantainyoke.network import (
    Address,
    format_address,
    parse_address,
)
from plantainyoke.standins._certificate import write_certificate
from plantainyoke.standins._fabric import Fabric
from plantainyoke.standins._platform import FakePlatform
from plantainyoke.standins._upstream import (
    SHED_STATUS,
    FakeUpstream,
    UpstreamOptions,
)

SERVER_NAME = "service.test"
PEER_KEY = "00112233445566778899aabbccddeeff"
ROUTING_KEY = {"rotation": 0, "secret": "0f1e2d3c4b5a69788796a5b4c3d2e1f0"}
OFFSET_STEP = 100


@dataclass(frozen=True)
class ServicePlan:
    """One service of a fleet.

    Attributes
    ----------
    name : str
    targets : int
        Number of targets, assigned to the zones round robin.
    upstream : UpstreamOptions
        Options of each of its upstreams.
    """

    name: str
    targets: int
    upstream: UpstreamOptions = field(default_factory=UpstreamOptions)


@dataclass(frozen=True)
class FleetPlan:
    """Composition of an `EmbeddedFleet`.

    Attributes
    ----------
    network_prefix : str
        First two octets of its loopback addresses, such as ``127.40``.
    zones : tuple of str
    balancers : int
        Number of balancers, assigned to the zones round robin.
    services : tuple of ServicePlan
    can_relay : bool
        Whether agents may relay requests to sibling agents.
    """

    network_prefix: str
    zones: tuple[str, ...] = ("plateau", "rufisque", "pikine")
    balancers: int = 2
    services: tuple[ServicePlan, ...] = (
        ServicePlan("orders", 3),
        ServicePlan("drawings", 3),
    )
    can_relay: bool = True


@dataclass
class Member:
    """One balancer or agent of the fleet.

    Attributes
    ----------
    settings : Settings
    stack : AsyncExitStack
        Closing it stops the component.
    component : Balancer or Agent, optional
        None until it has started.
    """

    settings: Settings
    stack: AsyncExitStack
    component: Balancer | Agent | None = None


class EmbeddedFleet:
    """Runs balancers, agents, upstreams, fabric and platform in one process.

    Parameters
    ----------
    plan : FleetPlan
    directory : Path
        Directory to which the certificate and its key are written.
    seed : int, default=0
        Seed of the random choices of the fleet and its components.
    """

    def __init__(self, plan: FleetPlan, directory: Path, *, seed: int = 0) -> None:
        self.plan = plan
        self.directory = directory
        self.seed = seed
        self.rng = random.Random(seed)
        self.stack = AsyncExitStack()
        self.platform = FakePlatform()
        self.members: dict[str, Member] = {}
        self.upstreams: dict[str, FakeUpstream] = {}
        self.upstream_stacks: dict[str, AsyncExitStack] = {}
        self.fabrics: dict[str, Fabric] = {}
        self.generation = 0
        self.zone_states = dict.fromkeys(plan.zones, "in")
        self.removed: set[str] = set()
        self.keys = KeySettings.model_validate(
            {"peer": [PEER_KEY], "routing": [ROUTING_KEY]}
        )

    async def __aenter__(self) -> "EmbeddedFleet":
        self.certificate, self.private_key = write_certificate(
            self.directory, SERVER_NAME
        )
        await self.platform.start(self.platform_address, self.stack)
        for service in self.plan.services:
            for index in range(service.targets):
                await self.start_upstream(service, index)
        self.publish()
        self.publish_hosts()
        startups = [self.start_balancer(i) for i in range(self.plan.balancers)]
        for service in self.plan.services:
            startups += [self.start_agent(service, i) for i in range(service.targets)]
        await asyncio.gather(*startups)
        for number, service in enumerate(self.plan.services):
            self._open_fabric(service, number)
        return self

    async def __aexit__(self, *details) -> None:
        members = list(self.members.values())
        await asyncio.gather(*(member.stack.aclose() for member in members))
        for stack in self.upstream_stacks.values():
            await stack.aclose()
        await self.stack.aclose()

    @property
    def platform_address(self) -> Address:
        """Address of the fake platform."""
        return f"{self.plan.network_prefix}.0.1", 8500

    def service_address(self, name: str) -> Address:
        """Return the address to which callers of a service send."""
        names = [service.name for service in self.plan.services]
        return f"{self.plan.network_prefix}.1.{names.index(name) + 1}", 4433

    def get_zone(self, index: int) -> str:
        """Return the zone of the ``index``-th target or balancer."""
        return self.plan.zones[index % len(self.plan.zones)]

    def open_session(self, service: str, *, seed: int = 0) -> Session:
        """Return a new caller's session with a service."""
        options = SessionOptions(SERVER_NAME, str(self.certificate))
        address = self.service_address(service)
        return Session(address, options, rng=random.Random(seed))

    def list_agents(self, service: str) -> list[Agent]:
        """Return the running agents of a service."""
        return [
            member.component
            for member in self.members.values()
            if isinstance(member.component, Agent)
            and member.settings.agent.service == service
        ]

    def list_balancers(self) -> list[Balancer]:
        """Return the running balancers."""
        components = [member.component for member in self.members.values()]
        return [
            component for component in components if isinstance(component, Balancer)
        ]

    def list_upstreams(self, service: str) -> list[FakeUpstream]:
        """Return the upstreams of a service."""
        return [
            upstream
            for name, upstream in self.upstreams.items()
            if name.rpartition("-")[0] == service
        ]

    def build(self) -> ConfigurationDocuments:
        """Build the next generation from the plan and the zones' states."""
        self.generation += 1
        fleet = FleetFile.model_validate(
            {
                "generation": self.generation,
                "zones": self.zone_states,
                "networks": [f"{self.plan.network_prefix}.0.0/16"],
            }
        )
        services = [self._service_file(service) for service in self.plan.services]
        return build_documents(fleet, services).unwrap()

    def publish(self) -> int:
        """Publish the next generation and return its number."""
        self.platform.publish(self.build())
        return self.generation

    def set_zone_state(self, zone: str, state: str) -> int:
        """Publish a zone's state, ``in`` or ``out``; return the generation."""
        self.zone_states[zone] = state
        return self.publish()

    def publish_hosts(self) -> None:
        """Publish the host list of the plan."""
        self.platform.hosts = [
            {
                "address": self._balancer_address(index),
                "zone": self.get_zone(index),
                "role": "balancer",
            }
            for index in range(self.plan.balancers)
        ]

    async def start_balancer(self, index: int) -> Balancer:
        """Start one balancer."""
        name = f"balancer-{index}"
        settings = self._settings(
            name, "balancer", index, self._balancer_address(index)
        )
        settings = settings.model_copy(
            update={
                "balancer": BalancerSettings(
                    service_port_offset=OFFSET_STEP * (index + 1)
                )
            }
        )
        member = Member(settings, AsyncExitStack())
        self.members[name] = member
        member.component = await start_balancer(
            settings, member.stack, seed=self.seed + index
        )
        return member.component

    async def start_agent(self, service: ServicePlan, index: int) -> Agent:
        """Start the agent of one target."""
        name = f"{service.name}-{index}"
        address = self._agent_address(service.name, index)
        settings = self._settings(name, "agent", index, address).model_copy(
            update={"agent": self._agent_settings(service, index)}
        )
        member = Member(settings, AsyncExitStack())
        self.members[name] = member
        member.component = await start_agent(
            settings,
            member.stack,
            seed=self.seed + index,
            can_relay=self.plan.can_relay,
        )
        return member.component

    async def start_upstream(self, service: ServicePlan, index: int) -> None:
        """Start one upstream in cold start, also after `kill_upstream`."""
        name = f"{service.name}-{index}"
        upstream = self.upstreams.get(name)
        if upstream is None:
            upstream = FakeUpstream(name, service.upstream)
            self.upstreams[name] = upstream
        upstream.reset_to_cold()
        stack = AsyncExitStack()
        self.upstream_stacks[name] = stack
        await upstream.start(self._upstream_address(service.name, index), stack)

    async def kill_upstream(self, name: str) -> None:
        """Stop an upstream without draining it."""
        await self.upstream_stacks.pop(name).aclose()

    async def kill(self, name: str) -> None:
        """Stop a balancer or agent without draining it."""
        await self.members.pop(name).stack.aclose()

    async def stop(self, name: str) -> None:
        """Drain a balancer or agent, then stop it."""
        member = self.members[name]
        await member.component.drain()
        del self.members[name]
        await member.stack.aclose()

    def set_rotation(self, indexes: list[int]) -> None:
        """Restrict the fabrics to the balancers with these indexes."""
        for fabric in self.fabrics.values():
            fabric.offsets[:] = [OFFSET_STEP * (index + 1) for index in indexes]

    async def wait_for_generation(
        self, generation: int, timeout_s: float = 5.0
    ) -> float:
        """Wait until all balancers and agents have applied a generation.

        Returns
        -------
        waited_s : float
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        async with asyncio.timeout(timeout_s):
            while any(
                member.component.node.generation < generation
                for member in self.members.values()
            ):
                await asyncio.sleep(0.01)
        return loop.time() - started

    def sum_counter(self, name: str) -> int:
        """Return the sum of a counter over all balancers and agents."""
        return sum(
            member.component.node.metrics.counters[name]
            for member in self.members.values()
        )

    def _open_fabric(self, service: ServicePlan, number: int) -> None:
        offsets = [OFFSET_STEP * (i + 1) for i in range(self.plan.balancers)]
        rng = random.Random(self.seed + number)
        fabric = Fabric(self.service_address(service.name), offsets, rng)
        fabric.open()
        self.stack.callback(fabric.close)
        self.fabrics[service.name] = fabric

    def _service_file(self, service: ServicePlan) -> ServiceFile:
        return ServiceFile.model_validate(
            {
                "service": service.name,
                "address": format_address(self.service_address(service.name)),
                "slots": service.upstream.slots,
                "cold_slots": service.upstream.cold_slots,
                "warm_up_requests": service.upstream.warm_after,
                "shed_status": SHED_STATUS,
                "targets": [
                    {
                        "agent": self._agent_address(service.name, index),
                        "zone": self.get_zone(index),
                    }
                    for index in range(service.targets)
                    if f"{service.name}-{index}" not in self.removed
                ],
            }
        )

    def _settings(self, name: str, role: str, index: int, listen: str) -> Settings:
        values = {
            "name": name,
            "role": "balancer",
            "zone": self.get_zone(index),
            "listen": listen,
            "platform": f"http://{format_address(self.platform_address)}",
            "keys": self.keys.model_dump(),
        }
        return Settings.model_validate(values).model_copy(update={"role": role})

    def _agent_settings(self, service: ServicePlan, index: int) -> AgentSettings:
        upstream = self._upstream_address(service.name, index)
        return AgentSettings(
            service=service.name,
            upstream=f"http://{format_address(upstream)}",
            certificate=str(self.certificate),
            private_key=str(self.private_key),
        )

    def _balancer_address(self, index: int) -> str:
        return f"{self.plan.network_prefix}.2.{index + 1}:7000"

    def _agent_address(self, service: str, index: int) -> str:
        number = self.service_address(service)[0].rpartition(".")[2]
        return f"{self.plan.network_prefix}.{10 + int(number)}.{index + 1}:7000"

    def _upstream_address(self, service: str, index: int) -> Address:
        host, _ = parse_address(self._agent_address(service, index))
        return host, 9000
