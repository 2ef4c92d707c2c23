"""A small deployment of the project's own programs on loopback addresses."""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path

from review.rig2.ends import Callers, Target
from review.rig2.store import Store

ROOT = Path(__file__).resolve().parents[2]
DEPS = ROOT / "target" / "deps"
SERVICE_ADDRESS = ("198.18.0.1", 8443)
READY_TIMEOUT_S = 20.0
LOCK_PORT = 9464  # the programs' own port for metrics, which is the same on all hosts
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


class CannotRunError(Exception):
    """The case could not run, so that it shows nothing."""


@dataclass
class Machine:
    """A machine with one process of the system, and a target if it is an agent's."""

    name: str
    role: str
    ip: str
    zone: str
    service: str = ""
    target_id: str = ""
    born_ms: int = 0
    process: subprocess.Popen | None = None
    target: Target | None = None


def reserve_prefix() -> tuple[str, socket.socket]:
    """Return two octets of loopback addresses, and the socket that reserves them.

    Without it, two scripts that run at the same time could use the same addresses.
    """
    for octet in random.sample(range(20, 250), 50):
        lock = socket.socket()
        try:
            lock.bind((f"127.{octet}.0.1", LOCK_PORT))
        except OSError:
            lock.close()
            continue
        return f"127.{octet}", lock
    raise CannotRunError("no free loopback addresses")


class Deployment:
    """Machines, store, callers and targets, and the record of what they did.

    Parameters
    ----------
    record : Path
        File to which events are written.
    machines : list of tuple
        Role, zone and service of each machine.
    """

    def __init__(self, record: Path, machines: list[tuple[str, str, str]]) -> None:
        self.record_file = record.open("w")
        self.started_at = time.monotonic()
        self.stack = AsyncExitStack()
        self.store = Store()
        self.prefix, lock = reserve_prefix()
        self.stack.callback(lock.close)
        self.base = random.randrange(20_000, 29_000)
        self.machines: dict[str, Machine] = {}
        self.bootstrap = True
        self.version = 1
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        counts: dict[tuple[str, str], int] = {}
        for role, zone, service in machines:
            number = counts[role, zone] = counts.get((role, zone), 0) + 1
            kind = "frontend" if role == "balancer" else "side"
            name = f"{kind}-{zone}-{number}"
            ip = f"{self.prefix}.1.{len(self.machines) + 1}"
            self.machines[name] = Machine(name, role, ip, zone, service)
        self.zones = list(dict.fromkeys(zone for _, zone, _ in machines))

    # Ports: the same on all machines.
    @property
    def packet_port(self) -> int:
        """Port of packetAddr, also of the callers."""
        return self.base

    def record(self, text: str) -> None:
        """Write one line with the time since the start."""
        self.record_file.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")
        self.record_file.flush()

    @property
    def now(self) -> float:
        """Time of the event loop."""
        return asyncio.get_running_loop().time()

    async def __aenter__(self) -> "Deployment":
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start(self) -> None:
        if not DEPS.is_dir():
            raise CannotRunError("the build of the deploy file is missing")
        self._check_ports()
        for machine in self.machines.values():
            await self.store.listen(machine.name, self._get_store_address(machine))
        self.stack.callback(self.store.close)
        self.put_configuration()
        for machine in self.machines.values():
            if machine.role == "agent":
                self.start_target(machine)
        self.stack.callback(self._kill_all)
        for machine in self.machines.values():
            self.start_process(machine)
        await self.wait_until_ready(list(self.machines.values()))
        self.bootstrap = False

    async def __aexit__(self, *details) -> None:
        await self.stack.aclose()
        for file in self.directory.glob("*"):
            file.unlink()
        self.directory.rmdir()
        self.record("all processes have ended")
        self.record_file.close()

    def _check_ports(self) -> None:
        try:
            for port in range(self.base, self.base + 32):
                with socket.socket() as sock:
                    sock.bind((f"{self.prefix}.1.1", port))
        except OSError as error:
            raise CannotRunError(f"no free ports: {error}") from error

    def _get_store_address(self, machine: Machine) -> tuple[str, int]:
        return machine.ip.replace(".1.", ".9.", 1), self.base + 9

    def start_target(self, machine: Machine, *, clock_ahead_s: float = 0.0) -> None:
        """Start a target, or start it again with nothing of before.

        Parameters
        ----------
        machine : Machine
        clock_ahead_s : float
            By how much the machine's time of day is ahead at the start.
        """
        if machine.target is not None:
            machine.target.close()
        else:
            self.stack.callback(lambda: machine.target.close())
        machine.target_id = f"i-{random.getrandbits(40):010x}"
        machine.born_ms = int((time.time() + clock_ahead_s) * 1000)
        machine.target = Target(
            machine.name, (machine.ip, self.base + 5), (machine.ip, self.base + 2)
        )
        self.put_target(machine)

    def put_target(self, machine: Machine, state: str = "ready") -> None:
        """Write a target's entry."""
        machine.target.draining = state == "draining"
        entry = {
            "service": machine.service,
            "address": f"{machine.ip}:{self.base + 5}",
            "zone": machine.zone,
            "version": "v1",
            "slots": 4,
            "state": state,
            "coldLeftMs": 0,
            "sequence": 1,
            "born": machine.born_ms,
        }
        self.store.put(f"servers/{machine.target_id}", entry)
        self.record(f"store acknowledged {machine.name}'s target as {state}")

    def put_configuration(self, **changes) -> None:
        """Write the operator's next configuration."""
        self.version += 2
        services = sorted({m.service for m in self.machines.values() if m.service})
        document = {
            "version": self.version,
            "routes": [
                {
                    "name": "r-orders",
                    "hostname": SERVICE_ADDRESS[0],
                    "prefix": f"/{SERVICE_ADDRESS[1]}/",
                    "type": "unsafe",
                    "timeoutMs": 1500,
                    "aimMs": 324,
                    "priority": 1,
                    "service": services[0],
                    "maxAttempts": 2,
                }
            ],
            "services": [
                {
                    "name": service,
                    "healthPath": "/health",
                    "maxConns": 2000,
                    "protocol": "h1",
                    "tls": False,
                    "coldStartS": 2.0,
                    "coldPerS": 0.0,
                }
                for service in services
            ],
            "limits": {"idleTimeoutMs": 15000},
            **changes,
        }
        self.store.put("op/config", document)
        self.record(f"store acknowledged configuration {self.version}")

    # Processes.

    def start_process(self, machine: Machine) -> None:
        """Start the program of a machine with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"][machine.role]["run"])
        if command[0] == "python3":
            command[0] = sys.executable
        settings = self.directory / f"{machine.name}.toml"
        settings.write_text(self._write_settings(machine))
        log = (self.directory / f"{machine.name}.log").open("ab")
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        machine.process = subprocess.Popen(
            command,
            cwd=ROOT,
            env={
                **environment,
                "PYTHONPATH": str(DEPS),
                "PYTHONDONTWRITEBYTECODE": "1",
                "PLANTAINYOKE_CONFIG": str(settings),
            },
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()
        self.record(f"started {machine.name} ({machine.role})")

    def send_signal(self, machine: Machine, number: int) -> None:
        """Send a signal to the process of a machine."""
        self.record(f"{signal.Signals(number).name} to {machine.name}")
        machine.process.send_signal(number)

    async def restart(
        self,
        machine: Machine,
        number: int = signal.SIGTERM,
        *,
        pause_s: float = 0.0,
    ) -> None:
        """Stop the process of a machine, and start it again after a pause."""
        self.send_signal(machine, number)
        await asyncio.to_thread(machine.process.wait)
        self.record(f"{machine.name} has ended")
        await asyncio.sleep(pause_s)
        self.start_process(machine)

    async def wait_until_ready(self, machines: list[Machine]) -> None:
        """Wait until processes answer their readiness probe."""
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                for machine in machines:
                    while not await self.is_ready(machine):
                        await asyncio.sleep(0.05)
        except TimeoutError as error:
            tail = self.read_log(machine)[-600:]
            raise CannotRunError(f"{machine.name} is not ready: {tail}") from error

    async def is_ready(self, machine: Machine) -> bool:
        """Return whether a process answers its readiness probe with 200."""
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(
                    machine.ip, self.base + 7
                )
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def keep_rotation(
        self, balancers: list[Machine], in_rotation: list[Machine]
    ) -> None:
        """Probe balancers twice a second, as the platform's routers do.

        After two misses a balancer is out of rotation until it answers again.
        """
        misses = dict.fromkeys((one.name for one in balancers), 0)
        while True:
            ready = await asyncio.gather(*(self.is_ready(one) for one in balancers))
            for one, is_ready in zip(balancers, ready, strict=True):
                misses[one.name] = 0 if is_ready else misses[one.name] + 1
            now_in = [one for one in balancers if misses[one.name] < 2]
            if now_in and now_in != in_rotation:
                in_rotation[:] = now_in
                names = ", ".join(one.name for one in now_in)
                self.record(f"in rotation: {names}")
            await asyncio.sleep(0.5)

    def read_log(self, machine: Machine) -> str:
        """Return the log of a machine's processes."""
        return (self.directory / f"{machine.name}.log").read_text(errors="replace")

    def open_callers(self, balancers: list[Machine]) -> Callers:
        """Return callers whose packets go to the balancers of a list by their port.

        The list may change: it holds the balancers in rotation.
        """
        callers = Callers(
            (f"{self.prefix}.8.{random.randrange(1, 250)}", self.packet_port),
            SERVICE_ADDRESS,
            lambda port: (balancers[port % len(balancers)].ip, self.packet_port),
        )
        self.stack.callback(callers.close)
        return callers

    def _kill_all(self) -> None:
        for machine in self.machines.values():
            if machine.process is not None:
                if machine.process.poll() is None:
                    machine.process.kill()
                machine.process.wait()

    def _write_settings(self, machine: Machine) -> str:
        fronts = [m for m in self.machines.values() if m.role == "balancer"]
        base = self.base
        store = self._get_store_address(machine)
        is_front = machine.role == "balancer"
        lines = [
            f'nodeName = "{machine.name}"',
            f'role = "{machine.role}"',
            f'machineClass = "{"frontend" if is_front else "side"}"',
            f"serves = {json.dumps(['frontend', 'control_plane'] if is_front else ['side'])}",  # noqa: E501
            f'ip = "{machine.ip}"',
            f'zone = "{machine.zone}"',
            'region = "casco"',
            f"internalPorts = [{base + 16}, {base + 31}]",
            f"seeds = {json.dumps([f'{m.ip}:{base + 6}' for m in fronts[:3]])}",
            f"bootstrap = {json.dumps(self.bootstrap)}",
            "faultCounted = false",
            'discovery = "platform"',
            'entry = "announce"',
            "heartbeatMs = 1200",
            'hash = "mod"',
            'deployMode = "agent"',
        ]
        if not is_front:
            lines += [
                f'app = "{machine.ip}:{base + 5}"',
                f'service = "{machine.service}"',
            ]
        lines += ["[zones]", *(f'{zone} = "casco"' for zone in self.zones)]
        lines += [
            "[listen]",
            f'packetAddr = "{machine.ip}:{base}"',
            f'ready = "{machine.ip}:{base + 7}"',
        ]
        if is_front:
            lines.append(f'control = "{machine.ip}:{base + 6}"')
        else:
            lines.append(f'outbound = "{machine.ip}:{base + 2}"')
        lines += ["[bounds]", *(f"{key} = {value}" for key, value in BOUNDS.items())]
        lines += [
            "[platform]",
            f'address = "{store[0]}:{store[1]}"',
            'deployMode = "read"',
            "readsPerS = 2000",
            "historyS = 20",
            "valueBytes = 1048576",
        ]
        return "\n".join(lines) + "\n"


def run(case) -> int:
    """Run a coroutine function that returns whether the rule held; return an exit code.

    The case gets whether the disruption happens (``TROUBLE``, by default it does).
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        return 0 if asyncio.run(case(trouble)) else 1
    except Exception as error:  # an error of the case itself shows nothing
        traceback.print_exc()
        print(f"cannot run: {error!r}")
        return 2
