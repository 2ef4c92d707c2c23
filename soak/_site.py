"""Site of real processes behind the fault-injecting proxy.

Restarts processes that end, and reports what it publishes and every packet that it
sends and receives to the invariant checker.
"""

import asyncio
import itertools
import random
import signal
import time
from collections import Counter
from pathlib import Path

from plantainyoke.flows import format_flow
from plantainyoke.network import parse_host
from plantainyoke.standins import (
    COLD_START_S,
    STORE_PORT,
    FakeCaller,
    FakeTarget,
    PacketFleet,
    PacketFleetPlan,
)
from soak._network import ProxiedNetwork
from soak._witness import BOUNCED, RST, Invariant, InvariantChecker, Publication

FIRST_PORT = 18_720
PORTS_PER_PROCESS = 20  # sixteen internal ports and a gap
RESTART_DELAY_S = 0.2  # before an ended process is restarted
STOP_TIMEOUT_S = 3.5  # a little above graceS in the processes' settings (3 s)
POLL_INTERVAL_S = 0.05
FIRST_LOG_EVENT = "event=starting"
EXPECTED_EXIT_CODES = {
    signal.SIGKILL: {-signal.SIGKILL},
    # A program that is not ready yet has no work to finish; SIGTERM ends it at once.
    signal.SIGTERM: {0, -signal.SIGTERM},
}


class SoakSite(PacketFleet):
    """Fleet of real processes behind a proxied network, with an invariant checker.

    Parameters
    ----------
    plan : PacketFleetPlan
    directory : Path
        For settings files and logs.
    seed : int
        Of the random generators that draw faults and packet loss.

    Attributes
    ----------
    entry_rng : random.Random
        Draws odd entries, apart from the faults of the seed.
    kept_down : Counter of str
        Number of faults that prevent the restart of each host's process.
    leaving : set of str
        Names of the hosts whose targets are being replaced.
    received_signals : dict of str to set of int
        Signals sent to the running process of each host.
    log_offsets : dict of str to int
        Offset in each host's log at which the running process started to write.
    recovered_targets : list of (float, FakeTarget)
        Targets that reset requests, each with the time at which it ended.
    caller_loss, caller_duplication : float
        Shares of callers' packets that are lost and duplicated before they reach a
        balancer, in [0, 1].
    """

    def __init__(self, plan: PacketFleetPlan, directory: Path, *, seed: int) -> None:
        super().__init__(plan, directory, seed=seed)
        self.network = ProxiedNetwork(random.Random(seed + 1), self.stack)
        self.entry_rng = random.Random(seed + 2)
        self.checker = InvariantChecker(self.now)
        self.kept_down: Counter[str] = Counter()
        self.leaving: set[str] = set()
        self.received_signals: dict[str, set[int]] = {
            name: set() for name in self.hosts
        }
        self.log_offsets: dict[str, int] = {}
        self.entry_numbers = itertools.count(1)
        self.recovered_targets: list[tuple[float, FakeTarget]] = []
        self.caller_loss = 0.0
        self.caller_duplication = 0.0
        for number, loopback_host in enumerate(self.hosts.values()):
            loopback_host.messages_port = FIRST_PORT + number * PORTS_PER_PROCESS
            loopback_host.store_ip = f"{plan.network_prefix}.7.{number + 1}"

    async def __aenter__(self) -> "SoakSite":
        for loopback_host in self.hosts.values():
            self.network.add_sender(loopback_host.name, loopback_host.ip)
            await self.network.forward_connections(
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
        listen_address = peer.ip, loopback_host.messages_port
        destination_address = peer.ip, peer.messages_port
        self.network.forward_datagrams(
            loopback_host.name, peer.name, listen_address, destination_address
        )
        await self.network.forward_connections(
            loopback_host.name,
            peer.name,
            listen_address,
            destination_address,
            loopback_host.ip,
        )

    async def __aexit__(self, *details) -> None:
        self.kept_down.update(list(self.hosts))
        await super().__aexit__(*details)

    # Processes. A process that ends is restarted.

    def list_names(self, role: str = "") -> list[str]:
        """Return the names of the hosts with a role, or of all hosts."""
        return [name for name, host in self.hosts.items() if role in ("", host.role)]

    def start_process(self, name: str) -> None:
        """Start the program of a host."""
        self.received_signals[name] = set()
        path = self.directory / f"{name}.log"
        self.log_offsets[name] = path.stat().st_size if path.exists() else 0
        super().start_process(name)

    def send_signal(self, name: str, signal_number: int) -> None:
        """Send a signal to the process of a host, if it is running."""
        process = self.hosts[name].process
        if process is not None and process.poll() is None:
            self.received_signals[name].add(signal_number)
            process.send_signal(signal_number)

    async def _supervise(self, name: str) -> None:
        """Restart the process of a host whenever it ends, until cancelled."""
        loopback_host = self.hosts[name]
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            code = loopback_host.process.poll()
            if code is None or self.kept_down[name]:
                continue
            if not self._is_expected(name, code):
                self.checker.record_violation(
                    self.now,
                    Invariant.NO_UNEXPECTED_EXITS,
                    f"{name} exited with code {code}",
                )
            await asyncio.sleep(RESTART_DELAY_S)
            if not self.kept_down[name]:
                self.start_process(name)

    def _is_expected(self, name: str, code: int) -> bool:
        signals = self.received_signals[name]
        if code == -signal.SIGHUP and signal.SIGHUP in signals:
            # The interpreter was still starting, so the program had no signal handler.
            return FIRST_LOG_EVENT not in self.read_log(name)[self.log_offsets[name] :]
        return any(code in EXPECTED_EXIT_CODES.get(number, ()) for number in signals)

    async def stop_process(self, name: str) -> None:
        """Stop a process by SIGTERM, and by SIGKILL after the timeout."""
        process = self.hosts[name].process
        self.send_signal(name, signal.SIGTERM)
        deadline = self.now + STOP_TIMEOUT_S
        while process.poll() is None and self.now < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)
        if process.poll() is None:
            self.send_signal(name, signal.SIGCONT)
            self.send_signal(name, signal.SIGKILL)

    # Published state, which the checker records.

    def publish_shares(self, **weights: int) -> None:
        """Publish a configuration with a traffic split of the route."""
        super().publish_shares(**weights)
        names = {name for name, weight in weights.items() if weight}
        self.checker.shares = Publication(self.now, names)
        self.checker.ever_shared |= names

    def publish_target(self, name: str, *, state: str = "ready") -> None:
        """Write the entry of a host's target to the store."""
        super().publish_target(name, state=state)
        if state == "draining":
            self.checker.draining.setdefault(name, Publication(self.now))
        else:
            self.checker.draining.pop(name, None)

    def take_zone_out(self, zone: str) -> None:
        """Publish that a zone is taken out."""
        super().take_zone_out(zone)
        self.checker.zones_out[zone] = Publication(self.now)

    def return_zone(self, zone: str) -> None:
        """Publish that a zone is returned."""
        self.store.delete(f"op/evacuate/{zone}")
        self.checker.zones_out.pop(zone, None)

    # Targets.

    def restart_target(self, name: str, *, clock_skew_s: float = 0.0) -> None:
        """Restart a target after a crash; it has lost its flows and is cold."""
        host = parse_host(self.hosts[name].ip)
        target = self.targets[host]
        target.lose_flows()
        target.is_alive = True
        loopback_host = self.hosts[name]
        loopback_host.born_ms = round((time.time() + clock_skew_s) * 1000)
        loopback_host.cold_until = self.now + COLD_START_S
        if self.plan.cold_flows_per_s:
            # Without a configured rate, a service with only cold targets has no limit.
            self.checker.cold_limits_per_s[host] = self.plan.cold_flows_per_s
        self.publish_target(name)
        self.call_later(COLD_START_S, lambda: self._end_cold_start(name))

    def _end_cold_start(self, name: str) -> None:
        loopback_host = self.hosts[name]
        if self.now < loopback_host.cold_until:
            return  # the target has crashed again since
        self.checker.cold_limits_per_s.pop(parse_host(loopback_host.ip), None)
        if (
            name not in self.leaving
            and f"servers/{loopback_host.entry}" in self.store.items
        ):
            state = "draining" if name in self.checker.draining else "ready"
            self.publish_target(name, state=state)

    # Packets of callers and targets.

    def send_from_caller(self, packet: bytes) -> None:
        """Send a caller's packet once, twice or not at all, as the faults require."""
        self.checker.record_sent_packet(packet, self.now, by_target=False)
        if self.rng.random() < self.caller_loss:
            return
        super().send_from_caller(packet)
        if self.rng.random() < self.caller_duplication:
            super().send_from_caller(packet)

    def send_from_target(self, host: int, packet: bytes) -> None:
        """Send a target's packet to the agent beside it."""
        if not packet[0] & BOUNCED:
            self.checker.record_sent_packet(packet, self.now, by_target=True)
        if packet[0] & RST:
            self.checker.record_target_reset(self.find_host(host).name, self.now)
        super().send_from_target(host, packet)

    def _deliver_to_target(self, host: int, packet: bytes) -> None:
        target = self.targets[host]
        loopback_host = self.find_host(host)
        self.checker.check_at_target(target, loopback_host, packet, self.now)
        super()._deliver_to_target(host, packet)

    def _deliver_to_caller(self, packet: bytes, source) -> None:
        caller = self.find_caller(packet)
        if caller is None:
            self.checker.record_violation(
                self.now,
                Invariant.CALLER_PACKETS_UNALTERED,
                f"no caller for {packet.hex()}",
            )
            return
        holder = self.find_holder(caller)
        reason = ""
        if holder is not None and packet[0] & RST:
            reason = self._find_reset_reason(holder, caller)
        self.checker.check_at_caller(caller, holder, packet, self.now, reason=reason)
        caller.receive(packet)

    def _find_reset_reason(self, holder: str, caller: FakeCaller) -> str:
        """Return the reason for which the holder's agent reset a flow, or ``""``."""
        flow = format_flow(caller.flow)
        for line in reversed(self.read_log(holder).splitlines()):
            if "event=flow_reset " in line and flow in line:
                return line.partition("reason=")[2].partition(" ")[0]
        return ""

    def is_open(self, caller: FakeCaller) -> bool:
        """Return whether a caller's flow is open, not reset and held by a target."""
        return (
            caller.is_open
            and caller.reset_at is None
            and bool(self.find_holder(caller))
        )
