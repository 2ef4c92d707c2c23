"""A fleet for benchmarks in which balancers, agents and callers are processes.

The fake platform, the fake upstreams and the fabric run in the process of the
benchmark, so that scenarios can control them directly.
"""

import asyncio
import json
import os
import signal
import sys
from contextlib import AsyncExitStack
from pathlib import Path

from benchmarks._deployments import Deployment
from plantainyoke.standins import EmbeddedFleet, ServicePlan

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 30.0
POLL_S = 0.05


class ProcessFleet(EmbeddedFleet):
    """Starts each balancer and each agent as a separate process.

    Parameters
    ----------
    deployment : Deployment
    directory : Path
        Receives the settings, keys, logs and results.
    seed : int
    variant : {"plantainyoke", "hash", "no-relay"}
        Full system or baseline that the processes run.
    """

    def __init__(
        self, deployment: Deployment, directory: Path, *, seed: int, variant: str
    ) -> None:
        super().__init__(deployment.plan, directory, seed=seed)
        self.deployment = deployment
        self.variant = variant
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.control_port = 7100
        self.log_files = AsyncExitStack()

    async def __aenter__(self) -> "ProcessFleet":
        await super().__aenter__()
        for fabric in self.fabrics.values():
            fabric.delay_s = self.deployment.one_way_delay_s
        return self

    async def __aexit__(self, *exc_info) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()
        for stack in self.upstream_stacks.values():
            await stack.aclose()
        await self.stack.aclose()
        await self.log_files.aclose()

    async def start_balancer(self, index: int) -> None:
        """Start a balancer process and wait until it has a configuration."""
        name = f"balancer-{index}"
        settings = self._settings(
            name, "balancer", index, self._balancer_address(index)
        ).model_dump()
        settings["balancer"]["service_port_offset"] = 100 * (index + 1)
        await self._start_process(name, settings)

    async def start_agent(self, service: ServicePlan, index: int) -> None:
        """Start an agent process and wait until it has a configuration."""
        name = f"{service.name}-{index}"
        address = self._agent_address(service.name, index)
        settings = self._settings(name, "agent", index, address).model_dump()
        settings["role"] = "agent"
        settings["agent"] = self._agent_settings(service, index).model_dump()
        await self._start_process(name, settings)

    async def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        process = self.processes.pop(name)
        process.kill()
        await process.wait()

    async def stop(self, name: str) -> None:
        """Stop a process with SIGTERM and wait until it exits."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await process.wait()

    def set_paused(self, name: str, is_paused: bool) -> None:
        """Pause a process with SIGSTOP or continue it with SIGCONT."""
        signal_number = signal.SIGSTOP if is_paused else signal.SIGCONT
        self.processes[name].send_signal(signal_number)

    async def fetch_status(self, name: str) -> dict:
        """Return the status of a process from its control port."""
        host = self._listen_host(name)
        reader, writer = await asyncio.open_connection(host, self.control_port)
        writer.write(b"GET /status HTTP/1.0\r\nhost: x\r\n\r\n")
        content = await reader.read()
        writer.close()
        return json.loads(content.partition(b"\r\n\r\n")[2])

    async def fetch_statuses(self) -> dict[str, dict]:
        """Return the status of every process that answers, by name."""
        names = list(self.processes)
        answers = await asyncio.gather(
            *(self.fetch_status(name) for name in names), return_exceptions=True
        )
        return {
            name: answer
            for name, answer in zip(names, answers, strict=True)
            if isinstance(answer, dict)
        }

    async def wait_for_generation(
        self, generation: int, timeout_s: float = 15.0
    ) -> float:
        """Wait until every process that answers has applied a generation.

        Returns
        -------
        float
            Seconds waited.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        async with asyncio.timeout(timeout_s):
            while True:
                statuses = await self.fetch_statuses()
                waited = loop.time() - started
                if all(
                    status["generation"] >= generation for status in statuses.values()
                ):
                    return waited
                await asyncio.sleep(POLL_S)

    async def start_callers(self, name: str, arguments: dict) -> None:
        """Start a load generator (``benchmarks._callers``) with these arguments."""
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(arguments))
        await self._spawn(name, ["-m", "benchmarks._callers", str(path)])

    def _listen_host(self, name: str) -> str:
        kind, _, index = name.rpartition("-")
        if kind == "balancer":
            return self._balancer_address(int(index)).partition(":")[0]
        return self._agent_address(kind, int(index)).partition(":")[0]

    async def _start_process(self, name: str, settings: dict) -> None:
        host = settings["listen"].partition(":")[0]
        settings["control"] = f"{host}:{self.control_port}"
        path = self.directory / f"{name}.yaml"
        path.write_text(json.dumps(settings))  # JSON is a subset of YAML
        await self._spawn(name, ["-m", "benchmarks._variants", self.variant, str(path)])
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._is_ready(name):
                await asyncio.sleep(POLL_S)

    async def _is_ready(self, name: str) -> bool:
        if self.processes[name].returncode is not None:
            raise RuntimeError(
                f"{name} exited before it was ready; see {self.directory / name}.log"
            )
        try:
            return (await self.fetch_status(name))["generation"] > 0
        except (OSError, ValueError):
            return False

    async def _spawn(self, name: str, arguments: list[str]) -> None:
        log = self.log_files.enter_context((self.directory / f"{name}.log").open("ab"))
        environment = {**os.environ, "PYTHONPATH": str(Path(__file__).parent.parent)}
        self.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable, *arguments, stdout=log, stderr=log, env=environment
        )
