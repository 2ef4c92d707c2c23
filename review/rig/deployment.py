"""A small deployment: the project's programs as processes, and the stand-ins."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path

from review.rig.callers import Caller, Flow, Router, is_ready
from review.rig.record import Record
from review.rig.store import Store
from review.rig.targets import Entry, Run, StandInTarget

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 20.0
METRICS_PORT = 9464  # the programs bind it at their own address
RESTART_DELAY_S = 0.2  # the platform restarts an ended process after a short delay
POLL_S = 0.02
FAST_LINK_MBPS = 1000.0
PORT_OFFSETS = {"packet": 0, "ready": 1, "control": 2, "outbound": 3, "app": 4}
MESSAGES_OFFSET, MESSAGES_PORTS = 10, 15


class CannotRunError(Exception):
    """The case cannot be played on this machine."""


@dataclass
class Host:
    """One machine of the deployment; a side machine has a target."""

    name: str
    role: str
    ip: str
    zone: str
    service: str = ""
    process: subprocess.Popen | None = None
    store_address: str = ""
    entry: Entry | None = None
    target: StandInTarget | None = None


@dataclass
class Plan:
    """Composition and settings of a deployment.

    Attributes
    ----------
    services : dict of str to int
        Number of targets by service.
    balancers : int
    zones : tuple of str
        Assigned round robin.
    frontend_link_mbps : float
        Bandwidth of the balancers' links; it limits what they read from the store.
    bounds : dict
        Changes to the bounds of the settings.
    """

    services: dict[str, int]
    balancers: int = 2
    zones: tuple[str, ...] = ("loft", "wharf-shed", "office-annex")
    slots: int = 4
    work_s: float = 0.022
    heartbeat_ms: int = 1200
    frontend_link_mbps: float = 1000.0
    bounds: dict = field(default_factory=dict)


BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "stableWindowMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 3000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 12000,
    "coldOvershoot": 1.5,
    "coldSlack": 5,
    "evacuateMs": 5000,
    "recoveryS": 12,
    "reorderMs": 2000,
    "flowTtlS": 60,
}


class Deployment:
    """Runs a deployment as a context.

    Attributes
    ----------
    store : Store
    hosts : dict of str to Host
    callers : dict of str to Caller
        By zone.
    """

    def __init__(self, plan: Plan, record: Record) -> None:
        self.plan, self.record = plan, record
        self.stack = AsyncExitStack()
        self.store = Store()
        self.hosts: dict[str, Host] = {}
        self.callers: dict[str, Caller] = {}
        self.bootstrap = True
        self.network, self.base_port = "", 0

    async def __aenter__(self) -> "Deployment":
        try:
            await self._start()
        except BaseException:
            await self.stack.aclose()
            raise
        return self

    async def __aexit__(self, *details) -> None:
        await self.stack.aclose()

    async def _start(self) -> None:
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRunError("target/deps is missing: run the build first")
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {
            name: role["run"].split() for name, role in deploy["roles"].items()
        }
        folder = tempfile.TemporaryDirectory(prefix="review-")
        self.stack.callback(folder.cleanup)
        self.folder = Path(folder.name)
        self._plan_hosts()
        self.stack.callback(self.store.close)
        shared = await self.store.start(f"{self.network}.9.1")
        is_slow = self.plan.frontend_link_mbps < FAST_LINK_MBPS
        for number, host in enumerate(self.hosts.values(), start=2):
            host.store_address = shared
            if is_slow and host.role == "balancer":
                host.store_address = await self.store.start(
                    f"{self.network}.9.{number}", self.plan.frontend_link_mbps
                )

    def _plan_hosts(self) -> None:
        """Choose a loopback network and ports that are free, and list the hosts."""
        plan = self.plan
        for _ in range(50):
            self.network = f"127.{random.randrange(20, 190)}"
            self.base_port = random.randrange(12_000, 28_000)
            self.hosts = {}
            for index in range(plan.balancers):
                zone = plan.zones[index % len(plan.zones)]
                self._add_host(f"frontend-{index + 1}", "balancer", 1, index + 1, zone)
            number = 0
            for service, count in plan.services.items():
                for index in range(count):
                    number += 1
                    zone = plan.zones[index % len(plan.zones)]
                    self._add_host(f"side-{number}", "agent", 2, number, zone, service)
            if all(self._is_free(host.ip) for host in self.hosts.values()):
                return
        raise CannotRunError("no free loopback network")

    def _add_host(
        self, name: str, role: str, net: int, number: int, zone: str, service: str = ""
    ) -> None:
        ip = f"{self.network}.{net}.{number}"
        self.hosts[name] = Host(name, role, ip, zone, service)

    def _is_free(self, ip: str) -> bool:
        ports = [METRICS_PORT]
        ports += [self.base_port + offset for offset in PORT_OFFSETS.values()]
        ports += [self.base_port + MESSAGES_OFFSET]
        for port in ports:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as sock:
                    try:
                        sock.bind((ip, port))
                    except OSError:
                        return False
        return True

    def port(self, name: str) -> int:
        """Return a port of every machine by its name."""
        return self.base_port + PORT_OFFSETS[name]

    async def start_all(self, configuration: dict) -> None:
        """Publish a configuration, start everything and wait until it is ready."""
        self.store.put("op/config", configuration)
        for host in self.hosts.values():
            if host.role == "agent":
                await self.start_target(host)
        router = Router(self._list_balancers())
        for number, zone in enumerate(dict.fromkeys(self.plan.zones), start=1):
            caller = Caller(
                f"{self.network}.8.{number}",
                zone,
                self.port("packet"),
                router,
                self.record.write,
            )
            await caller.start()
            self.stack.callback(caller.close)
            self.callers[zone] = caller
        self.stack.push_async_callback(self._end_processes)
        for host in self.hosts.values():
            self.start_process(host)
        await self.wait_ready(*self.hosts.values())
        self.bootstrap = False
        self.run_task(router.run())
        for host in self.hosts.values():
            self.run_task(self._supervise(host))
        await asyncio.sleep(1.0)
        self.record.write("all processes are ready", processes=len(self.hosts))

    def run_task(self, coroutine) -> asyncio.Task:
        """Run a task until the deployment ends."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.stack.callback(task.cancel)
        return task

    def _list_balancers(self) -> dict[str, list]:
        balancers = {zone: [] for zone in self.plan.zones}
        for host in self.hosts.values():
            if host.role == "balancer":
                balancers[host.zone].append(
                    ((host.ip, self.port("packet")), (host.ip, self.port("ready")))
                )
        return balancers

    def find_holder(self, flow: Flow) -> str:
        """Return the name of the host whose target holds a flow open, or ""."""
        for host in self.hosts.values():
            if host.target is not None:
                held = host.target.flows.get((flow.source, flow.destination))
                if held is not None and held.is_open:
                    return host.name
        return ""

    def list_runs(self, request_id: str) -> list[Run]:
        """Return the runs of a request at all targets."""
        return [
            run
            for host in self.hosts.values()
            if host.target is not None
            for run in host.target.runs
            if run.request_id == request_id
        ]

    async def wait_ready(self, *hosts: Host) -> None:
        """Wait until processes report that they are ready."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        for host in hosts:
            while not await is_ready((host.ip, self.port("ready"))):
                if time.monotonic() > deadline:
                    raise CannotRunError(f"{host.name} is not ready")
                await asyncio.sleep(POLL_S)

    async def list_ready(self) -> list[str]:
        """Return the names of the hosts whose processes report that they are ready."""
        return [
            host.name
            for host in self.hosts.values()
            if await is_ready((host.ip, self.port("ready")))
        ]

    # Targets and their entries.

    async def start_target(self, host: Host) -> None:
        """Start the target of a host, and register it."""
        plan = self.plan
        host.target = StandInTarget(
            host.name,
            host.service,
            (host.ip, self.port("app")),
            (host.ip, self.port("outbound")),
            slots=plan.slots,
            work_s=plan.work_s,
            on_event=self.record.write,
        )
        await host.target.start()
        self.stack.callback(host.target.close)
        # The deployment starts with warm targets.
        born = round(time.time() * 1000) - 60_000
        address = f"{host.ip}:{self.port('app')}"
        host.entry = Entry(host.service, address, host.zone, plan.slots, born)
        self.publish(host)

    def publish(self, host: Host) -> int:
        """Write the entry of a host's target; return the revision."""
        return self.store.put(f"servers/i-{host.name}", host.entry.to_document())

    # Processes.

    def start_process(self, host: Host) -> None:
        """Start the program of a host with the command of the deploy file."""
        path = self.folder / f"{host.name}.toml"
        path.write_text(self._format_settings(host))
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PLANTAINYOKE_CONFIG"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self.folder / f"{host.name}.log").open("ab") as log:
            host.process = subprocess.Popen(
                self.commands[host.role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send_signal(self, host: Host, number: signal.Signals) -> None:
        """Send a signal to the process of a host."""
        self.record.write("signal", host=host.name, signal=number.name)
        host.process.send_signal(number)

    def read_log(self, host: Host) -> str:
        """Return what the processes of a host have written."""
        return (self.folder / f"{host.name}.log").read_text(errors="replace")

    def record_logs(self, *events: str, limit: int = 40) -> None:
        """Copy the first log lines of some events into the record."""
        lines = [
            line
            for host in self.hosts.values()
            for line in self.read_log(host).splitlines()
            if any(f"event={event}" in line for event in events)
        ]
        self.record.write("log lines", events=",".join(events), number=len(lines))
        for line in sorted(lines)[:limit]:
            self.record.write("log:", line=line)

    async def _supervise(self, host: Host) -> None:
        """Restart a process whenever it ends, as the platform does."""
        while True:
            await asyncio.sleep(POLL_S)
            if host.process.poll() is None:
                continue
            code = host.process.returncode
            self.record.write("process ended", host=host.name, code=code)
            await asyncio.sleep(RESTART_DELAY_S)
            self.start_process(host)
            self.record.write("process started again", host=host.name)

    async def _end_processes(self) -> None:
        running = [host.process for host in self.hosts.values() if host.process]
        for process in running:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in running:
            process.wait()

    def _format_settings(self, host: Host) -> str:
        plan = self.plan
        seeds = [
            f"{peer.ip}:{self.port('control')}"
            for peer in self.hosts.values()
            if peer.role == "balancer"
        ][:3]
        is_balancer = host.role == "balancer"
        serves = ["frontend", "control_plane"] if is_balancer else ["side"]
        messages = self.base_port + MESSAGES_OFFSET
        lines = [
            f'nodeName = "{host.name}"',
            f'role = "{host.role}"',
            f'machineClass = "{"frontend" if is_balancer else "side"}"',
            f"serves = {json.dumps(serves)}",
            f'ip = "{host.ip}"',
            f'zone = "{host.zone}"',
            'region = "casco"',
            f"internalPorts = [{messages},{messages + MESSAGES_PORTS}]",
            f"seeds = {json.dumps(seeds)}",
            f"bootstrap = {json.dumps(self.bootstrap)}",
            "faultCounted = false",
            'discovery = "platform"',
            'entry = "announce"',
            f"heartbeatMs = {plan.heartbeat_ms}",
            'hash = "mod"',
            'deployMode = "agent"',
        ]
        if not is_balancer:
            lines.append(f'app = "{host.ip}:{self.port("app")}"')
            lines.append(f'service = "{host.service}"')
        lines += ["[zones]", *(f'{zone} = "casco"' for zone in plan.zones), "[listen]"]
        lines.append(f'packetAddr = "{host.ip}:{self.port("packet")}"')
        lines.append(f'ready = "{host.ip}:{self.port("ready")}"')
        name = "control" if is_balancer else "outbound"
        lines.append(f'{name} = "{host.ip}:{self.port(name)}"')
        mbps = plan.frontend_link_mbps if is_balancer else FAST_LINK_MBPS
        lines += ["[limits]", f"linkMbps = {mbps}"]
        lines += ["[tolerance]", "machines = 2", "zones = 1", "regions = 0", "[bounds]"]
        lines += [
            f"{key} = {json.dumps(value)}"
            for key, value in {**BOUNDS, **plan.bounds}.items()
        ]
        lines += ["[platform]", f'address = "{host.store_address}"']
        lines += ['deployMode = "read"', "readsPerS = 2000", "historyS = 20"]
        lines += ["valueBytes = 1048576", "ttlMinMs = 1000"]
        return "\n".join(lines) + "\n"


def make_route(
    name: str, ip: str, port: int, service: str, *, kind: str = "unsafe", **fields
) -> dict:
    """Return a route as the operator writes it."""
    route = {
        "name": name,
        "hostname": ip,
        "prefix": f"/{port}/",
        "type": kind,
        "timeoutMs": 1000,
        "aimMs": 150,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
    }
    return {**route, **fields}


def make_configuration(
    version: int,
    routes: list[dict],
    services: list[str],
    *,
    idle_timeout_ms: int = 15_000,
    cold_start_s: float = 2.0,
    cold_per_s: float = 0.0,
) -> dict:
    """Return a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConns": 2000,
                "protocol": "h1",
                "tls": False,
                "coldStartS": cold_start_s,
                "coldPerS": cold_per_s,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": idle_timeout_ms,
        },
    }
