"""A QUIC balancer and agent as separate processes, over real sockets."""

import asyncio
import json
import random
import signal
import sys
from contextlib import AsyncExitStack

from plantainyoke.configuration import FleetFile, ServiceFile, build_documents
from plantainyoke.standins import (
    Fabric,
    FakePlatform,
    FakeUpstream,
    write_certificate,
)

SERVER_NAME = "service.test"
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 30.0
KEYS = {
    "peer": ["00112233445566778899aabbccddeeff"],
    "routing": [{"rotation": 0, "secret": "0f1e2d3c4b5a69788796a5b4c3d2e1f0"}],
}


class QuicProcesses:
    """Runs one balancer and one agent against a fake platform and upstream."""

    def __init__(self, network_prefix: str, directory) -> None:
        self.network_prefix = network_prefix
        self.directory = directory
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.upstream = FakeUpstream("orders-0")

    async def start(self, stack: AsyncExitStack) -> None:
        certificate, key = write_certificate(self.directory, SERVER_NAME)
        await self.upstream.start((f"{self.network_prefix}.0.3", 9000), stack)
        platform = FakePlatform()
        await platform.start((f"{self.network_prefix}.0.1", 8500), stack)
        platform.publish(self.build())
        address = f"{self.network_prefix}.0.2:7000"
        platform.hosts = [{"address": address, "zone": "plateau", "role": "balancer"}]
        fabric = Fabric((f"{self.network_prefix}.1.1", 4433), [100], random.Random(0))
        fabric.open()
        stack.callback(fabric.close)
        await self.spawn("balancer", address, balancer={"service_port_offset": 100})
        agent = {
            "service": "orders",
            "upstream": f"http://{self.network_prefix}.0.3:9000",
            "certificate": str(certificate),
            "private_key": str(key),
        }
        await self.spawn("agent", f"{self.network_prefix}.0.3:7000", agent=agent)

    def build(self):
        fleet = {
            "generation": 4,
            "zones": {"plateau": "in"},
            "networks": [f"{self.network_prefix}.0.0/16"],
        }
        service = {
            "service": "orders",
            "address": f"{self.network_prefix}.1.1:4433",
            "slots": 4,
            "targets": [
                {"agent": f"{self.network_prefix}.0.3:7000", "zone": "plateau"}
            ],
        }
        return build_documents(
            FleetFile.model_validate(fleet), [ServiceFile.model_validate(service)]
        ).unwrap()

    async def spawn(self, role: str, listen: str, **sections) -> None:
        settings = {
            "name": role,
            "role": role,
            "zone": "plateau",
            "listen": listen,
            "control": listen.replace(":7000", ":7100"),
            "platform": f"http://{self.network_prefix}.0.1:8500",
            "keys": KEYS,
            **sections,
        }
        path = self.directory / f"{role}.yaml"
        path.write_text(json.dumps(settings))
        self.processes[role] = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "plantainyoke.cli.daemon"),
            *("--settings", str(path)),
            stderr=asyncio.subprocess.PIPE,
        )
        async with asyncio.timeout(READY_TIMEOUT_S):
            while (await self.query("status", role))[0] != 0:
                await asyncio.sleep(0.1)

    async def query(self, command: str, role: str, *arguments: str):
        host = f"{self.network_prefix}.0.{2 if role == 'balancer' else 3}"
        return await self.run_control(command, "--control", f"{host}:7100", *arguments)

    async def run_control(self, *arguments: str) -> tuple[int, str, str]:
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "plantainyoke.cli.control", *arguments),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await process.communicate()
        return process.returncode, out.decode(), err.decode()

    async def call_service(self, command: str, *arguments: str):
        ca = str(self.directory / "certificate.pem")
        return await self.run_control(
            *(command, f"{self.network_prefix}.1.1:4433"),
            *("--server-name", SERVER_NAME, "--ca", ca, *arguments),
        )

    async def stop(self) -> dict[str, tuple[int, str]]:
        exits = {}
        for role, process in self.processes.items():
            process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(STOP_TIMEOUT_S):
                _, err = await process.communicate()
            exits[role] = process.returncode, err.decode()
        return exits

    def kill(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()


class TestQuicProcesses:
    def test_serve_explain_and_stop(self, run_async, network_prefix, tmp_path):
        async def scenario():
            async with AsyncExitStack() as stack:
                processes = QuicProcesses(network_prefix, tmp_path)
                stack.callback(processes.kill)
                await processes.start(stack)
                code, out, err = await processes.call_service(
                    "request", "POST", "/orders", "--body", "span 7", "--key", "k1"
                )
                assert code == 0, err
                assert json.loads(out)["echo"] == "span 7"
                code, out, _ = await processes.call_service(
                    "watch", "/events", "--count", "3"
                )
                ids = [int(line.split()[0]) for line in out.splitlines()]
                assert code == 0
                assert ids == list(range(ids[0], ids[0] + 3))
                _, out, _ = await processes.query("status", "balancer")
                assert json.loads(out)["generation"] == 4
                _, out, _ = await processes.query("explain", "agent", "--key", "k1")
                assert json.loads(out)["record"] == "done"
                _, out, _ = await processes.query(
                    *("explain", "balancer", "--service", "orders"),
                    *("--connection-id", "0011223344556677"),
                )
                assert json.loads(out)["choice"] == f"{network_prefix}.0.3:7000"
                for role, (code, log) in (await processes.stop()).items():
                    assert code == 0, log
                    assert f"event={role}_draining" in log
                    unformatted = [
                        entry
                        for entry in log.splitlines()
                        if not entry.startswith("time=")
                    ]
                    assert unformatted == []
                assert processes.upstream.runs == {"k1": 1}

        run_async(scenario())
