"""A site of real processes whose packets, connections and ends are watched."""

import asyncio
import itertools
import random
import signal
import time
from collections import Counter
from pathlib import Path

from plantainyoke.network import parse_host
from plantainyoke.standins import (
    COLD_START_S,
    STORE_PORT,
    FakeCaller,
    PacketFleet,
    PacketFleetPlan,
)
from soak._network import ProxiedNetwork
from soak._witness import BOUNCED, Promise, Statement, Witness

FIRST_PORT = 18_720
PORTS_PER_PROCESS = 20  # a range of sixteen and a gap
RESTART_S = 0.2  # pause before an ended process starts again
GRACE_S = 3.5  # a little above the grace in the processes' settings
POLL_S = 0.05
FIRST_EVENT = "event=starting"
EXPECTED_CODES = {
    signal.SIGKILL: {-signal.SIGKILL},
    # A program that cannot serve yet has nothing to finish.
    signal.SIGTERM: {0, -signal.SIGTERM},
}


class SoakSite(PacketFleet):
    """A site behind a proxied network, judged by a witness.

    Parameters
    ----------
    plan : PacketFleetPlan
    folder : Path
    seed : int

    Attributes
    ----------
    held : Counter of str
        How many faults keep the process of a machine down.
    leaving : set of str
        Machines whose targets are being replaced.
    signalled : dict of str to set of int
        Signals that the running process of each machine got.
    log_starts : dict of str to int
        Where the lines of the running process begin in each machine's log.
    caller_loss, caller_copies : float
        Shares of callers' packets that are lost and doubled on the way here.
    """

    def __init__(self, plan: PacketFleetPlan, folder: Path, *, seed: int) -> None:
        super().__init__(plan, folder, seed=seed)
        self.network = ProxiedNetwork(random.Random(seed + 1), self.stack)
        self.witness = Witness(self.now)
        self.held: Counter[str] = Counter()
        self.leaving: set[str] = set()
        self.signalled: dict[str, set[int]] = {name: set() for name in self.hosts}
        self.log_starts: dict[str, int] = {}
        self.entry_numbers = itertools.count(1)
        self.caller_loss = 0.0
        self.caller_copies = 0.0
        for number, loopback_host in enumerate(self.hosts.values()):
            loopback_host.messages_port = FIRST_PORT + number * PORTS_PER_PROCESS
            loopback_host.store_ip = f"{plan.network_prefix}.7.{number + 1}"

    async def __aenter__(self) -> "SoakSite":
        for loopback_host in self.hosts.values():
            self.network.add_sender(loopback_host.name, loopback_host.ip)
            await self.network.carry_connections(
                loopback_host.name,
                "store",
                (loopback_host.store_ip, STORE_PORT),
                (self.store.ip, STORE_PORT),
                loopback_host.ip,
            )
            for peer in self.hosts.values():
                if peer is not loopback_host:
                    await self._connect(loopback_host, peer)
        await super().__aenter__()
        for name in self.hosts:
            self.network.tasks.start_task(self._supervise(name), name="supervisor")
        return self

    async def _connect(self, loopback_host, peer) -> None:
        entry = peer.ip, loopback_host.messages_port
        exit_ = peer.ip, peer.messages_port
        self.network.carry_datagrams(loopback_host.name, peer.name, entry, exit_)
        await self.network.carry_connections(
            loopback_host.name, peer.name, entry, exit_, loopback_host.ip
        )

    async def __aexit__(self, *details) -> None:
        self.held.update(list(self.hosts))
        await super().__aexit__(*details)

    # Processes. Whatever ends is started again.

    def names(self, role: str = "") -> list[str]:
        """Return the machines of a role, or all."""
        return [name for name, one in self.hosts.items() if role in ("", one.role)]

    def start_process(self, name: str) -> None:
        """Start the program of a machine."""
        self.signalled[name] = set()
        path = self.folder / f"{name}.log"
        self.log_starts[name] = path.stat().st_size if path.exists() else 0
        super().start_process(name)

    def send_signal(self, name: str, number: int) -> None:
        """Send a signal to the process of a machine, if one runs."""
        process = self.hosts[name].process
        if process is not None and process.poll() is None:
            self.signalled[name].add(number)
            process.send_signal(number)

    async def _supervise(self, name: str) -> None:
        """Start the machine's process again when it ends, until cancelled."""
        loopback_host = self.hosts[name]
        while True:
            await asyncio.sleep(POLL_S)
            code = loopback_host.process.poll()
            if code is None or self.held[name]:
                continue
            if not self._is_expected(name, code):
                self.witness.report(
                    self.now, Promise.PROCESSES_LIVE_ON, f"{name} with code {code}"
                )
            await asyncio.sleep(RESTART_S)
            if not self.held[name]:
                self.start_process(name)

    def _is_expected(self, name: str, code: int) -> bool:
        signals = self.signalled[name]
        if code == -signal.SIGHUP and signal.SIGHUP in signals:
            # The interpreter itself starts; no line of the program has run yet.
            return FIRST_EVENT not in self.read_log(name)[self.log_starts[name] :]
        return any(code in EXPECTED_CODES.get(one, ()) for one in signals)

    async def stop_process(self, name: str) -> None:
        """Ask a process to stop; kill it after its grace."""
        process = self.hosts[name].process
        self.send_signal(name, signal.SIGTERM)
        until = self.now + GRACE_S
        while process.poll() is None and self.now < until:
            await asyncio.sleep(POLL_S)
        if process.poll() is None:
            self.send_signal(name, signal.SIGCONT)
            self.send_signal(name, signal.SIGKILL)

    # Published state, told to the witness.

    def publish_shares(self, **weights: int) -> None:
        """Publish a configuration with a split of the route."""
        super().publish_shares(**weights)
        names = {name for name, weight in weights.items() if weight}
        self.witness.shares = Statement(self.now, names)
        self.witness.ever_shared |= names

    def publish_target(self, name: str, *, state: str = "ready") -> None:
        """Write a target's entry."""
        super().publish_target(name, state=state)
        if state == "draining":
            self.witness.draining.setdefault(name, Statement(self.now))
        else:
            self.witness.draining.pop(name, None)

    def take_zone_out(self, zone: str) -> None:
        """Take a zone out."""
        super().take_zone_out(zone)
        self.witness.zones_out[zone] = Statement(self.now)

    def return_zone(self, zone: str) -> None:
        """Take a zone back."""
        self.store.delete(f"op/evacuate/{zone}")
        self.witness.zones_out.pop(zone, None)

    # Targets.

    def restart_target(self, name: str, *, clock_skew_s: float = 0.0) -> None:
        """Let a target crash and start again; it loses its flows and is cold."""
        host = parse_host(self.hosts[name].ip)
        target = self.targets[host]
        target.lose_flows()
        target.is_alive = True
        loopback_host = self.hosts[name]
        loopback_host.born_ms = round((time.time() + clock_skew_s) * 1000)
        loopback_host.cold_until = self.now + COLD_START_S
        if self.plan.cold_flows_per_s:
            # Without a stated rate a service that is all cold has no limit.
            self.witness.cold_rates[host] = self.plan.cold_flows_per_s
        self.publish_target(name)
        self.call_later(COLD_START_S, lambda: self._end_cold_start(name))

    def _end_cold_start(self, name: str) -> None:
        loopback_host = self.hosts[name]
        if self.now < loopback_host.cold_until:
            return  # it crashed again meanwhile
        self.witness.cold_rates.pop(parse_host(loopback_host.ip), None)
        if (
            name not in self.leaving
            and f"servers/{loopback_host.entry}" in self.store.items
        ):
            state = "draining" if name in self.witness.draining else "ready"
            self.publish_target(name, state=state)

    # What ends send and receive.

    def send_from_caller(self, packet: bytes) -> None:
        """Send a caller's packet, perhaps not at all or twice."""
        self.witness.note_written(packet, self.now, by_target=False)
        if self.random.random() < self.caller_loss:
            return
        super().send_from_caller(packet)
        if self.random.random() < self.caller_copies:
            super().send_from_caller(packet)

    def send_from_target(self, host: int, packet: bytes) -> None:
        """Send a target's packet to the agent beside it."""
        if not packet[0] & BOUNCED:
            self.witness.note_written(packet, self.now, by_target=True)
        super().send_from_target(host, packet)

    def _receive_target(self, host: int, packet: bytes) -> None:
        target = self.targets[host]
        loopback_host = self.find_host(host)
        self.witness.check_at_target(target, loopback_host, packet, self.now)
        super()._receive_target(host, packet)

    def _receive_caller(self, packet: bytes, source) -> None:
        caller = self.find_caller(packet)
        if caller is None:
            self.witness.report(
                self.now,
                Promise.CALLERS_GET_WHAT_WAS_WRITTEN,
                f"no caller for {packet.hex()}",
            )
            return
        holder = self.find_holder(caller)
        self.witness.check_at_caller(caller, holder, packet, self.now)
        caller.receive(packet)

    def is_open(self, caller: FakeCaller) -> bool:
        """Tell whether a caller's flow is held by a target that lives."""
        return (
            caller.is_open
            and caller.reset_at is None
            and bool(self.find_holder(caller))
        )
