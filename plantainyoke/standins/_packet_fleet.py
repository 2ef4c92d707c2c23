"""Packet path of real balancer and agent processes on loopback addresses.

`PacketFleet` starts each program as a process with its own loopback address as host.
It simulates the rest in the calling process: the platform's store, the router that
selects a balancer for each packet, targets and callers.
"""

import asyncio
import itertools
import json
import os
import random
import signal
import subprocess
import sys
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path

from plantainyoke.catalogue import Target
from plantainyoke.flows import FlowKey
from plantainyoke.network import DatagramSocket, format_host, parse_host
from plantainyoke.standins._packet_simulation import FakeCaller, FakeTarget
from plantainyoke.standins._store import STORE_PORT, FakeStore
from plantainyoke.telemetry import Metrics

PACKET_PORT, READY_PORT, CONTROL_PORT = 18_172, 18_167, 18_166
OUTBOUND_PORT, TARGET_PORT, MESSAGES_PORT = 18_162, 18_165, 18_720
SERVICE_IP, SERVICE_PORT = "198.18.0.1", 443
READY_TIMEOUT_S = 10.0
HEARTBEAT_MS = 400
COLD_START_S = 1.0
READINESS_PROBE_S = 0.25  # timeout of a probe, and pause between two rounds


@dataclass
class LoopbackHost:
    """Loopback address that represents a host, and the process that runs on it.

    Attributes
    ----------
    name : str
    role : str
        ``"balancer"`` or ``"agent"``.
    ip : str
    zone : str
    service : str
        Service of an agent's target, empty for a balancer.
    messages_port : int
        Port on which the process receives messages, and to which it sends those for
        other hosts.
    store_ip : str
        Address at which the process reaches the store, empty for the store's own.
    entry : str
        Name of its target's entry in the store.
    born_ms : int
        Start time of its target in milliseconds, by the target's clock.
    cold_until : float
        Time of the event loop up to which its target is cold.
    process : subprocess.Popen, optional
        None until the process is started.
    """

    name: str
    role: str
    ip: str
    zone: str
    service: str = ""
    messages_port: int = MESSAGES_PORT
    store_ip: str = ""
    entry: str = ""
    born_ms: int = 1
    cold_until: float = 0.0
    process: subprocess.Popen | None = None


@dataclass
class PacketFleetPlan:
    """Composition of a `PacketFleet`.

    Attributes
    ----------
    network_prefix : str
        First two octets of its loopback addresses.
    services : dict of str to int
        Number of targets by service.
    balancers : int
        Number of balancers.
    zones : tuple of str
        Zones to which balancers and the targets of each service are assigned round
        robin.
    cold_flows_per_s : float
        Rate of new flows that the configuration allows a target in cold start; 0 if it
        states none.
    """

    network_prefix: str
    services: dict[str, int] = field(default_factory=lambda: {"orders": 4})
    balancers: int = 2
    zones: tuple[str, ...] = ("a", "b")
    cold_flows_per_s: float = 0.0


class PacketFleet:
    """Runs balancers and agents as processes around a fake store, targets and callers.

    Parameters
    ----------
    plan : PacketFleetPlan
    directory : Path
        Directory for the processes' settings files and logs.
    seed : int, default=0
    """

    def __init__(
        self, plan: PacketFleetPlan, directory: Path, *, seed: int = 0
    ) -> None:
        self.plan = plan
        self.directory = directory
        self.rng = random.Random(seed)
        self.stack = AsyncExitStack()
        self.loop = asyncio.get_running_loop()
        self.store = FakeStore(f"{plan.network_prefix}.9.1")
        self.hosts: dict[str, LoopbackHost] = {}
        self.targets: dict[int, FakeTarget] = {}
        self.callers: dict[FlowKey, FakeCaller] = {}
        self.target_sockets: dict[int, DatagramSocket] = {}
        self.caller_socket: DatagramSocket | None = None
        self.caller_ip = f"{plan.network_prefix}.8.1"
        self.ports = itertools.count(40_000)
        self.in_rotation: list[str] = []
        self.version = 1
        self.bootstrap = True
        for index in range(plan.balancers):
            zone = plan.zones[index % len(plan.zones)]
            self._add_host(f"balancer-{index}", "balancer", f"1.{index + 1}", zone)
        numbers = itertools.count(1)
        for service, count in plan.services.items():
            for index in range(count):
                zone = plan.zones[index % len(plan.zones)]
                number = next(numbers)
                name = f"agent-{number}"
                self._add_host(name, "agent", f"2.{number}", zone, service)

    @property
    def now(self) -> float:
        """Time of the event loop."""
        return self.loop.time()

    async def __aenter__(self) -> "PacketFleet":
        await self.store.start(self.stack)
        self.publish_shares(**{next(iter(self.plan.services)): 1})
        for loopback_host in self.hosts.values():
            if loopback_host.role == "agent":
                self._start_target(loopback_host)
        self.caller_socket = DatagramSocket(
            (self.caller_ip, PACKET_PORT), self._deliver_to_caller, Metrics()
        )
        self.stack.callback(self.caller_socket.close)
        for name in self.hosts:
            self.start_process(name)
        self.stack.callback(self._kill_all)
        rotation_updates = self.loop.create_task(self._update_rotation())
        self.stack.callback(rotation_updates.cancel)
        await self.wait_until_ready(*self.hosts)
        self.bootstrap = False
        return self

    async def __aexit__(self, *details) -> None:
        await self.stack.aclose()

    # Processes.

    def start_process(self, name: str) -> None:
        """Start the program of a host."""
        loopback_host = self.hosts[name]
        settings = self.directory / f"{name}.toml"
        settings.write_text(self._settings(loopback_host))
        log = (self.directory / f"{name}.log").open("ab")
        loopback_host.process = subprocess.Popen(
            [sys.executable, "-m", "plantainyoke.cli.daemon", loopback_host.role],
            env={**os.environ, "PLANTAINYOKE_CONFIG": str(settings)},
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()

    def send_signal(self, name: str, signal_number: int) -> None:
        """Send a signal to the process of a host."""
        self.hosts[name].process.send_signal(signal_number)

    async def restart(self, name: str, signal_number: int = signal.SIGTERM) -> None:
        """Signal the process of a host, wait until it ends and start it again."""
        loopback_host = self.hosts[name]
        loopback_host.process.send_signal(signal_number)
        await asyncio.to_thread(loopback_host.process.wait)
        self.start_process(name)

    async def wait_until_ready(self, *names: str) -> None:
        """Wait until all named processes report that they are ready."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            for name in names:
                while not await self.is_ready(name):
                    await asyncio.sleep(0.05)

    async def is_ready(self, name: str) -> bool:
        """Return whether a process reports that it is ready."""
        try:
            async with asyncio.timeout(READINESS_PROBE_S):
                reader, writer = await asyncio.open_connection(
                    self.hosts[name].ip, READY_PORT
                )
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                status = await reader.readline()
                writer.close()
                return b" 200 " in status
        except (OSError, TimeoutError):
            return False

    def read_log(self, name: str) -> str:
        """Return the log of all processes that ran on a host so far."""
        return (self.directory / f"{name}.log").read_text()

    # Published state.

    def publish_shares(self, **weights: int) -> None:
        """Publish a configuration that splits the route by these weights."""
        self.version += 3
        shares = [{"service": name, "weight": w} for name, w in weights.items()]
        route = {
            "name": "r-1",
            "hostname": SERVICE_IP,
            "prefix": f"/{SERVICE_PORT}/",
            "type": "safe",
            "aimMs": 500,
            "trafficSplit": shares,
        }
        services = [
            {
                "name": name,
                "maxConns": 2000,
                "coldStartS": COLD_START_S,
                "coldPerS": self.plan.cold_flows_per_s,
            }
            for name in self.plan.services
        ]
        limits = {"idleTimeoutMs": 12_000}
        self.store.put(
            "op/config",
            {
                "version": self.version,
                "routes": [route],
                "services": services,
                "limits": limits,
            },
        )

    def publish_target(self, name: str, *, state: str = "ready") -> None:
        """Write a target's entry."""
        loopback_host = self.hosts[name]
        self.store.put(
            f"servers/{loopback_host.entry}",
            {
                "service": loopback_host.service,
                "address": f"{loopback_host.ip}:{TARGET_PORT}",
                "zone": loopback_host.zone,
                "version": "v1",
                "slots": 4,
                "state": state,
                "sequence": 1,
                "coldLeftMs": max(
                    0, round((loopback_host.cold_until - self.now) * 1000)
                ),
                "born": loopback_host.born_ms,
            },
        )

    def take_zone_out(self, zone: str) -> None:
        """Take a zone out of service."""
        self.store.put(f"op/evacuate/{zone}", {})

    # Callers and targets, with the methods that `PacketSimulation` also has.

    def open_flow(self) -> FakeCaller:
        """Open a flow of a new caller."""
        flow = (
            parse_host(SERVICE_IP).to_bytes(4, "big")
            + next(self.ports).to_bytes(2, "big")
            + SERVICE_PORT.to_bytes(2, "big")
            + parse_host(self.caller_ip).to_bytes(4, "big")
        )
        caller = self.callers[flow] = FakeCaller(self, flow)
        caller.open()
        return caller

    def find_holder(self, caller: FakeCaller) -> str | None:
        """Return the name of the host whose target holds a flow, or None."""
        for host, target in self.targets.items():
            if caller.flow in target.flows:
                return self.find_host(host).name
        return None

    def find_host(self, host: int) -> LoopbackHost:
        """Return the host with an address."""
        ip = format_host(host)
        return next(
            loopback_host
            for loopback_host in self.hosts.values()
            if loopback_host.ip == ip
        )

    def find_caller(self, packet: bytes) -> FakeCaller | None:
        """Return the caller to which a packet is addressed, None if unknown."""
        flow = packet[32:36] + packet[30:32] + packet[28:30] + packet[24:28]
        return self.callers.get(flow)

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call a function after a delay."""
        self.loop.call_later(delay_s, callback)

    def send_from_caller(self, packet: bytes) -> None:
        """Send a packet to the balancer in rotation that the caller's port selects.

        If no balancer is in rotation, the port selects one of all balancers.
        """
        balancers = self.in_rotation or [
            name
            for name, loopback_host in self.hosts.items()
            if loopback_host.role == "balancer"
        ]
        name = balancers[int.from_bytes(packet[28:30], "big") % len(balancers)]
        self.caller_socket.send(packet, (self.hosts[name].ip, PACKET_PORT))

    def send_from_target(self, host: int, packet: bytes) -> None:
        """Send a target's packet to the agent beside it."""
        self.target_sockets[host].send(packet, (format_host(host), OUTBOUND_PORT))

    def _deliver_to_target(self, host: int, packet: bytes) -> None:
        self.targets[host].receive(packet)

    def _deliver_to_caller(self, packet: bytes, source: tuple[str, int]) -> None:
        caller = self.find_caller(packet)
        if caller is not None:
            caller.receive(packet)

    def create_target(self, loopback_host: LoopbackHost) -> FakeTarget:
        """Create the target of a host without flows; it replaces an earlier one."""
        host = parse_host(loopback_host.ip)
        entry = Target(
            loopback_host.entry,
            loopback_host.service,
            host,
            TARGET_PORT,
            loopback_host.zone,
            4,
        )
        target = self.targets[host] = FakeTarget(self, host, entry)
        return target

    def _start_target(self, loopback_host: LoopbackHost) -> None:
        host = self.create_target(loopback_host).host
        self.target_sockets[host] = DatagramSocket(
            (loopback_host.ip, TARGET_PORT),
            lambda packet, source: self._deliver_to_target(host, packet),
            Metrics(),
        )
        self.stack.callback(self.target_sockets[host].close)
        self.publish_target(loopback_host.name)

    def _add_host(
        self, name: str, role: str, suffix: str, zone: str, service: str = ""
    ) -> None:
        ip = f"{self.plan.network_prefix}.{suffix}"
        loopback_host = LoopbackHost(name, role, ip, zone, service, entry=f"t-{name}")
        self.hosts[name] = loopback_host

    async def _update_rotation(self) -> None:
        names = [
            name
            for name, loopback_host in self.hosts.items()
            if loopback_host.role == "balancer"
        ]
        while True:
            self.in_rotation = [name for name in names if await self.is_ready(name)]
            await asyncio.sleep(READINESS_PROBE_S)

    def _settings(self, loopback_host: LoopbackHost) -> str:
        seeds = [
            f"{peer.ip}:{CONTROL_PORT}"
            for peer in self.hosts.values()
            if peer.role == "balancer"
        ][:3]
        lines = [
            f'nodeName = "{loopback_host.name}"',
            f'machineClass = "{loopback_host.role}"',
            f'ip = "{loopback_host.ip}"',
            f'zone = "{loopback_host.zone}"',
            'region = "r"',
            f"internalPorts = [{loopback_host.messages_port}, "
            f"{loopback_host.messages_port + 15}]",
            f"seeds = {json.dumps(seeds)}",
            f"bootstrap = {json.dumps(self.bootstrap)}",
            f"heartbeatMs = {HEARTBEAT_MS}",
        ]
        if loopback_host.role == "agent":
            lines.append(f'app = "{loopback_host.ip}:{TARGET_PORT}"')
            lines.append(f'service = "{loopback_host.service}"')
        lines += ["[zones]", *(f'{zone} = "r"' for zone in self.plan.zones)]
        lines += [
            "[listen]",
            f'packetAddr = "{loopback_host.ip}:{PACKET_PORT}"',
            f'ready = "{loopback_host.ip}:{READY_PORT}"',
            f'outbound = "{loopback_host.ip}:{OUTBOUND_PORT}"',
            "[bounds]",
            "graceS = 3",
            "[platform]",
            f'address = "{loopback_host.store_ip or self.store.ip}:{STORE_PORT}"',
        ]
        return "\n".join(lines) + "\n"

    def _kill_all(self) -> None:
        for loopback_host in self.hosts.values():
            if (
                loopback_host.process is not None
                and loopback_host.process.poll() is None
            ):
                loopback_host.process.kill()
            if loopback_host.process is not None:
                loopback_host.process.wait()
