"""The packet path's surroundings on loopback: store, routers, targets and callers.

The programs run as separate processes; each machine is a loopback address.
"""

import asyncio
import base64
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

from aiohttp import web

from plantainyoke.catalogue import Target
from plantainyoke.flows import FlowKey
from plantainyoke.network import DatagramSocket, host_number, host_text
from plantainyoke.standins._packet_world import FakeCaller, FakeTarget
from plantainyoke.telemetry import Metrics

STORE_PORT, PACKET_PORT, READY_PORT, CONTROL_PORT = 18_169, 18_172, 18_167, 18_166
OUTBOUND_PORT, TARGET_PORT, MESSAGES_PORT = 18_162, 18_165, 18_720
SERVICE_IP, SERVICE_PORT = "198.18.0.1", 443
READY_TIMEOUT_S = 10.0
HEARTBEAT_MS = 400
COLD_START_S = 1.0
ROUTER_PROBE_S = 0.25


class StoreStandin:
    """A key-value store with revisions that can be listed and watched.

    Attributes
    ----------
    calls : int
    mode : str
        ``"up"``, ``"busy"`` (503) or ``"silent"``.
    """

    def __init__(self, ip: str) -> None:
        self.ip = ip
        self.revision = 1
        self.oldest = 0
        self.items: dict[str, dict] = {}
        self.log: list[dict] = []
        self.changed = asyncio.Event()
        self.calls = 0
        self.mode = "up"

    async def start(self, stack: AsyncExitStack) -> None:
        """Serve until the stack closes."""
        application = web.Application()
        application.router.add_get("/api/kv-range", self._range)
        application.router.add_get("/api/kv-watch", self._watch)
        runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.2)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, self.ip, STORE_PORT).start()

    def put(self, key: str, document: dict) -> None:
        """Write a key."""
        self.put_bytes(key, json.dumps(document).encode())

    def put_bytes(self, key: str, content: bytes) -> None:
        """Write a key with any content."""
        self.revision += 1
        value = base64.b64encode(content).decode()
        item = {"key": key, "value": value, "revision": self.revision}
        self.items[key] = item
        self._record(item)

    def delete(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record({"key": key, "revision": self.revision, "deleted": True})

    def discard_history(self) -> None:
        """Forget all changes so far."""
        self.oldest = self.revision
        self.log.clear()

    def _record(self, event: dict) -> None:
        self.log.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _admit(self) -> web.Response | None:
        self.calls += 1
        if self.mode == "silent":
            await asyncio.sleep(3600)
        return web.Response(status=503) if self.mode == "busy" else None

    async def _range(self, request: web.Request) -> web.Response:
        refused = await self._admit()
        if refused is not None:
            return refused
        prefix = request.query["prefix"]
        items = [item for key, item in self.items.items() if key.startswith(prefix)]
        return web.json_response(
            {"items": items, "hasMore": False, "currentRev": self.revision}
        )

    async def _watch(self, request: web.Request) -> web.Response:
        refused = await self._admit()
        if refused is not None:
            return refused
        after = int(request.query["after"])
        if after < self.oldest:
            return web.Response(status=410)
        if after == self.revision:
            try:
                async with asyncio.timeout(int(request.query["waitMs"]) / 1000):
                    await self.changed.wait()
            except TimeoutError:
                pass
        events = [event for event in self.log if event["revision"] > after]
        return web.json_response({"events": events, "currentRev": self.revision})


@dataclass
class Machine:
    """One machine and the process of ours on it.

    Attributes
    ----------
    messages_port : int
        Where the process receives messages, and where it sends those to others.
    store_ip : str
        Where the process reaches the store, empty for the store itself.
    entry : str
        Name of its target's entry.
    born_ms : int
        Start of its target, by the target's clock.
    cold_until : float
        Time up to which its target is cold.
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
class SitePlan:
    """What a site consists of.

    Attributes
    ----------
    network : str
        First two octets of its loopback addresses.
    services : dict of str to int
        Number of targets by service.
    balancers : int
    zones : tuple of str
    cold_flows_per_s : float
        New flows that a target in cold start bears.
    """

    network: str
    services: dict[str, int] = field(default_factory=lambda: {"orders": 4})
    balancers: int = 2
    zones: tuple[str, ...] = ("a", "b")
    cold_flows_per_s: float = 0.0


class PacketSite:
    """A site of real processes.

    Parameters
    ----------
    plan : SitePlan
    folder : Path
        For settings files and logs.
    seed : int
    """

    def __init__(self, plan: SitePlan, folder: Path, *, seed: int = 0) -> None:
        self.plan = plan
        self.folder = folder
        self.random = random.Random(seed)
        self.stack = AsyncExitStack()
        self.loop = asyncio.get_running_loop()
        self.store = StoreStandin(f"{plan.network}.9.1")
        self.machines: dict[str, Machine] = {}
        self.targets: dict[int, FakeTarget] = {}
        self.callers: dict[FlowKey, FakeCaller] = {}
        self.target_sockets: dict[int, DatagramSocket] = {}
        self.caller_socket: DatagramSocket | None = None
        self.caller_ip = f"{plan.network}.8.1"
        self.ports = itertools.count(40_000)
        self.in_rotation: list[str] = []
        self.version = 1
        self.bootstrap = True
        for index in range(plan.balancers):
            zone = plan.zones[index % len(plan.zones)]
            self._add(f"balancer-{index}", "balancer", f"1.{index + 1}", zone)
        numbers = itertools.count(1)
        for service, count in plan.services.items():
            for index in range(count):
                zone = plan.zones[index % len(plan.zones)]
                number = next(numbers)
                name = f"agent-{number}"
                self._add(name, "agent", f"2.{number}", zone, service)

    @property
    def now(self) -> float:
        """Time of the event loop."""
        return self.loop.time()

    async def __aenter__(self) -> "PacketSite":
        await self.store.start(self.stack)
        self.publish_shares(**{next(iter(self.plan.services)): 1})
        for machine in self.machines.values():
            if machine.role == "agent":
                self._start_target(machine)
        self.caller_socket = DatagramSocket(
            (self.caller_ip, PACKET_PORT), self._receive_caller, Metrics()
        )
        self.stack.callback(self.caller_socket.close)
        for name in self.machines:
            self.start_process(name)
        self.stack.callback(self._kill_all)
        router = self.loop.create_task(self._run_router())
        self.stack.callback(router.cancel)
        await self.wait_ready(*self.machines)
        self.bootstrap = False
        return self

    async def __aexit__(self, *details) -> None:
        await self.stack.aclose()

    # Processes.

    def start_process(self, name: str) -> None:
        """Start the program of a machine."""
        machine = self.machines[name]
        settings = self.folder / f"{name}.toml"
        settings.write_text(self._settings(machine))
        log = (self.folder / f"{name}.log").open("ab")
        machine.process = subprocess.Popen(
            [sys.executable, "-m", "plantainyoke.cli.daemon", machine.role],
            env={**os.environ, "PLANTAINYOKE_CONFIG": str(settings)},
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()

    def send_signal(self, name: str, number: int) -> None:
        """Send a signal to the process of a machine."""
        self.machines[name].process.send_signal(number)

    async def restart(self, name: str, number: int = signal.SIGTERM) -> None:
        """End the process of a machine by a signal and start it again."""
        machine = self.machines[name]
        machine.process.send_signal(number)
        await asyncio.to_thread(machine.process.wait)
        self.start_process(name)

    async def wait_ready(self, *names: str) -> None:
        """Wait until processes report that they can serve."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            for name in names:
                while not await self.is_ready(name):
                    await asyncio.sleep(0.05)

    async def is_ready(self, name: str) -> bool:
        """Ask a process whether it can serve."""
        try:
            async with asyncio.timeout(ROUTER_PROBE_S):
                reader, writer = await asyncio.open_connection(
                    self.machines[name].ip, READY_PORT
                )
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                status = await reader.readline()
                writer.close()
                return b" 200 " in status
        except (OSError, TimeoutError):
            return False

    def log_of(self, name: str) -> str:
        """Return what a machine's processes wrote."""
        return (self.folder / f"{name}.log").read_text()

    # Published state.

    def publish_shares(self, **weights: int) -> None:
        """Publish a configuration with a split of the route."""
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
        machine = self.machines[name]
        self.store.put(
            f"servers/{machine.entry}",
            {
                "service": machine.service,
                "address": f"{machine.ip}:{TARGET_PORT}",
                "zone": machine.zone,
                "slots": 4,
                "state": state,
                "coldLeftMs": max(0, round((machine.cold_until - self.now) * 1000)),
                "born": machine.born_ms,
            },
        )

    def evacuate(self, zone: str) -> None:
        """Take a zone out."""
        self.store.put(f"op/evacuate/{zone}", {})

    # Callers and targets, as in `PacketWorld`.

    def open_flow(self) -> FakeCaller:
        """Open a flow of a new caller."""
        flow = (
            host_number(SERVICE_IP).to_bytes(4, "big")
            + next(self.ports).to_bytes(2, "big")
            + SERVICE_PORT.to_bytes(2, "big")
            + host_number(self.caller_ip).to_bytes(4, "big")
        )
        caller = self.callers[flow] = FakeCaller(self, flow)
        caller.open()
        return caller

    def holder_of(self, caller: FakeCaller) -> str | None:
        """Return the machine whose target holds a flow."""
        for host, target in self.targets.items():
            if caller.flow in target.flows:
                return self.machine_of(host).name
        return None

    def machine_of(self, host: int) -> Machine:
        """Return the machine with an address."""
        ip = host_text(host)
        return next(one for one in self.machines.values() if one.ip == ip)

    def caller_of(self, packet: bytes) -> FakeCaller | None:
        """Return the caller to which a packet is addressed."""
        flow = packet[32:36] + packet[30:32] + packet[28:30] + packet[24:28]
        return self.callers.get(flow)

    def at(self, delay: float, call: Callable[[], None]) -> None:
        """Call a function after a delay."""
        self.loop.call_later(delay, call)

    def route(self, packet: bytes) -> None:
        """Send a caller's packet to a balancer in rotation, hashed by port."""
        nodes = self.in_rotation or [
            name for name, one in self.machines.items() if one.role == "balancer"
        ]
        name = nodes[int.from_bytes(packet[28:30], "big") % len(nodes)]
        self.caller_socket.send(packet, (self.machines[name].ip, PACKET_PORT))

    def from_target(self, host: int, packet: bytes) -> None:
        """Send a target's packet to the agent beside it."""
        self.target_sockets[host].send(packet, (host_text(host), OUTBOUND_PORT))

    def _receive_target(self, host: int, packet: bytes) -> None:
        self.targets[host].receive(packet)

    def _receive_caller(self, packet: bytes, source: tuple[str, int]) -> None:
        caller = self.caller_of(packet)
        if caller is not None:
            caller.receive(packet)

    def create_target(self, machine: Machine) -> FakeTarget:
        """Put a target that holds nothing on a machine."""
        host = host_number(machine.ip)
        entry = Target(
            machine.entry, machine.service, host, TARGET_PORT, machine.zone, 4
        )
        target = self.targets[host] = FakeTarget(self, host, entry)
        return target

    def _start_target(self, machine: Machine) -> None:
        host = self.create_target(machine).host
        self.target_sockets[host] = DatagramSocket(
            (machine.ip, TARGET_PORT),
            lambda packet, source: self._receive_target(host, packet),
            Metrics(),
        )
        self.stack.callback(self.target_sockets[host].close)
        self.publish_target(machine.name)

    def _add(
        self, name: str, role: str, suffix: str, zone: str, service: str = ""
    ) -> None:
        ip = f"{self.plan.network}.{suffix}"
        machine = Machine(name, role, ip, zone, service, entry=f"t-{name}")
        self.machines[name] = machine

    async def _run_router(self) -> None:
        names = [name for name, one in self.machines.items() if one.role == "balancer"]
        while True:
            self.in_rotation = [name for name in names if await self.is_ready(name)]
            await asyncio.sleep(ROUTER_PROBE_S)

    def _settings(self, machine: Machine) -> str:
        seeds = [
            f"{one.ip}:{CONTROL_PORT}"
            for one in self.machines.values()
            if one.role == "balancer"
        ][:3]
        lines = [
            f'nodeName = "{machine.name}"',
            f'machineClass = "{machine.role}"',
            f'ip = "{machine.ip}"',
            f'zone = "{machine.zone}"',
            'region = "r"',
            f"internalPorts = [{machine.messages_port}, {machine.messages_port + 15}]",
            f"seeds = {json.dumps(seeds)}",
            f"bootstrap = {json.dumps(self.bootstrap)}",
            f"heartbeatMs = {HEARTBEAT_MS}",
        ]
        if machine.role == "agent":
            lines.append(f'app = "{machine.ip}:{TARGET_PORT}"')
            lines.append(f'service = "{machine.service}"')
        lines += ["[zones]", *(f'{zone} = "r"' for zone in self.plan.zones)]
        lines += [
            "[listen]",
            f'packetAddr = "{machine.ip}:{PACKET_PORT}"',
            f'ready = "{machine.ip}:{READY_PORT}"',
            f'outbound = "{machine.ip}:{OUTBOUND_PORT}"',
            "[bounds]",
            "graceS = 3",
            "[platform]",
            f'address = "{machine.store_ip or self.store.ip}:{STORE_PORT}"',
        ]
        return "\n".join(lines) + "\n"

    def _kill_all(self) -> None:
        for machine in self.machines.values():
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
            if machine.process is not None:
                machine.process.wait()
