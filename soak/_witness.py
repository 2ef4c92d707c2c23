"""What must hold, judged by what callers and targets see."""

from bisect import bisect_left
from collections import defaultdict, deque
from dataclasses import dataclass, field
from enum import Enum

from plantainyoke.flows import FlowKey
from plantainyoke.network import format_host
from plantainyoke.platform import (
    MalformedPacketError,
    parse_caller_packet,
    parse_target_packet,
)

SYN, RST, BOUNCED = 1, 2, 8
FLAGS_AT, PADDING, MARK = 0, slice(1, 6), slice(10, 14)  # as the users' pages say
STABLE_S = 4.0  # faults have no consequences for longer than this
APPLY_S = 3.0  # a configuration or a draining target is respected
ZONE_OUT_S = 5.0
COLD_FACTOR, COLD_EXTRA = 1.5, 5
SECOND_S = 1.0


class Promise(Enum):
    """What is checked, by what is seen when it does not hold."""

    FLOWS_LIVE_ON = "an open flow was reset"
    TARGETS_GET_WHAT_WAS_WRITTEN = "a target got a packet that no caller wrote"
    CALLERS_GET_WHAT_WAS_WRITTEN = "a caller got a packet that no target wrote"
    SERVICES_HAVE_A_SHARE = "a service that never had a share got a flow"
    CONFIGURATION_IN_FORCE = "a flow was opened by an old configuration"
    DRAINING_TARGETS_LEFT_ALONE = "a draining target got a flow"
    ZONES_OUT_LEFT_ALONE = "a zone taken out got a flow"
    COLD_TARGETS_SPARED = "a cold target got too many flows"
    PROCESSES_LIVE_ON = "a process ended by itself"
    PROCESSES_READY = "a process is not ready"
    FLOWS_FOUND = "an open flow was not found"
    NEW_FLOWS_SERVED = "a new flow was not served"
    MEMORY_BOUNDED = "a process is too large"
    LOGS_CLEAN = "a log shows a failure of the program"


@dataclass(frozen=True)
class Violation:
    """A promise that did not hold."""

    at_s: float
    promise: Promise
    detail: str


@dataclass
class Statement:
    """What the site published last about one thing.

    Attributes
    ----------
    since : float
        Time of the publication.
    """

    since: float
    value: object = None


@dataclass
class Witness:
    """Watches packets at the ends of flows.

    Attributes
    ----------
    started_at : float
    written : dict of bytes to set of bytes
        Packets that callers and targets wrote, by flow, without routing marks.
    shares : Statement
        Services that get new flows.
    ever_shared : set of str
    zones_out, draining : dict of str to Statement
        Zones, and targets by machine, that get no new flows.
    cold_rates : dict of int to float
        New flows a second that a cold target bears, by host.
    faults : list of list of float
        Start and end of each disturbance.
    """

    started_at: float
    written: dict[FlowKey, set[bytes]] = field(default_factory=lambda: defaultdict(set))
    first_sent: dict[FlowKey, float] = field(default_factory=dict)
    shares: Statement = field(default_factory=lambda: Statement(0.0, ()))
    ever_shared: set[str] = field(default_factory=set)
    zones_out: dict[str, Statement] = field(default_factory=dict)
    draining: dict[str, Statement] = field(default_factory=dict)
    cold_rates: dict[int, float] = field(default_factory=dict)
    openings: dict[int, deque] = field(default_factory=lambda: defaultdict(deque))
    faults: list[list[float]] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)

    def report(self, now: float, promise: Promise, detail: str) -> None:
        """Note a violation."""
        at_s = round(now - self.started_at, 2)
        self.violations.append(Violation(at_s, promise, detail))

    def is_calm_since(self, since: float) -> bool:
        """Tell whether no fault had consequences since a time."""
        return all(end < since - STABLE_S for _, end in self.faults)

    def note_written(self, packet: bytes, now: float, *, by_target: bool) -> None:
        """Note a packet as an end wrote it."""
        parse = parse_target_packet if by_target else parse_caller_packet
        flow = parse(packet).flow
        self.written[flow].add(_without_marks(packet))
        if not by_target and packet[FLAGS_AT] & SYN:
            self.first_sent.setdefault(flow, now)

    def check_at_target(self, target, loopback_host, packet: bytes, now: float) -> None:
        """Check a packet that an agent gave to its target."""
        try:
            segment = parse_caller_packet(packet)
        except MalformedPacketError as error:
            self.report(
                now,
                Promise.TARGETS_GET_WHAT_WAS_WRITTEN,
                f"{loopback_host.name}: {error}",
            )
            return
        if _without_marks(packet) not in self.written[segment.flow]:
            self.report(
                now,
                Promise.TARGETS_GET_WHAT_WAS_WRITTEN,
                f"{loopback_host.name} got {packet[:36].hex()}",
            )
        if segment.opens:
            self._check_opening(target, loopback_host, segment.flow, now)

    def check_at_caller(self, caller, holder: str | None, packet: bytes, now: float):
        """Check a packet that reached a caller.

        Parameters
        ----------
        caller : FakeCaller
        holder : str or None
            Machine whose target holds the caller's flow.
        packet : bytes
        now : float
        """
        if packet[FLAGS_AT] & RST:
            if holder is not None:
                port = int.from_bytes(caller.flow[4:6], "big")
                self.report(
                    now, Promise.FLOWS_LIVE_ON, f"port {port} reset, {holder} holds it"
                )
        elif _without_marks(packet) not in self.written[caller.flow]:
            self.report(
                now,
                Promise.CALLERS_GET_WHAT_WAS_WRITTEN,
                f"caller got {packet[:36].hex()}",
            )

    def _check_opening(self, target, loopback_host, flow: FlowKey, now: float) -> None:
        service = target.entry.service
        if service not in self.ever_shared:
            self.report(
                now, Promise.SERVICES_HAVE_A_SHARE, f"{loopback_host.name} of {service}"
            )
        if service not in self.shares.value:
            self._check_bound(
                Promise.CONFIGURATION_IN_FORCE,
                self.shares,
                APPLY_S,
                loopback_host,
                flow,
                now,
            )
        if loopback_host.name in self.draining:
            statement = self.draining[loopback_host.name]
            self._check_bound(
                Promise.DRAINING_TARGETS_LEFT_ALONE,
                statement,
                APPLY_S,
                loopback_host,
                flow,
                now,
            )
        if loopback_host.zone in self.zones_out:
            statement = self.zones_out[loopback_host.zone]
            self._check_bound(
                Promise.ZONES_OUT_LEFT_ALONE,
                statement,
                ZONE_OUT_S,
                loopback_host,
                flow,
                now,
            )
        if target.host in self.cold_rates:
            self._check_cold(target.host, flow, now)

    def _check_bound(
        self, promise, statement, bound_s, loopback_host, flow, now
    ) -> None:
        """Check that a flow opened after a bound had no reason to come here."""
        sent_at = self.first_sent[flow]
        if sent_at <= statement.since + bound_s:
            return
        if self.is_calm_since(statement.since):
            late_s = round(sent_at - statement.since, 2)
            self.report(now, promise, f"{loopback_host.name}, {late_s} s after")

    def _check_cold(self, host: int, flow: FlowKey, now: float) -> None:
        recent = self.openings[host]
        if any(flow == other for _, other in recent):
            return
        recent.append((now, flow))
        while recent[0][0] <= now - SECOND_S:
            recent.popleft()
        sent = sorted(self.first_sent[other] for _, other in recent)
        inside = len(sent) - bisect_left(sent, now - SECOND_S)
        bound = self.cold_rates[host] * COLD_FACTOR + COLD_EXTRA
        if inside > bound:
            self.report(
                now,
                Promise.COLD_TARGETS_SPARED,
                f"{format_host(host)}: {inside} in a second",
            )


def _without_marks(packet: bytes) -> bytes:
    """Return a packet without the fields that the system may change."""
    packet = bytearray(packet)
    packet[FLAGS_AT] &= ~BOUNCED & 0xFF
    packet[PADDING] = bytes(5)
    packet[MARK] = bytes(4)
    return bytes(packet)
