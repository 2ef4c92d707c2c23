"""Invariants that must hold under faults, and their checker.

The checker compares the packets that callers and targets receive with those that were
sent and with the published state. It also collects the violations that the site and
the run observe, such as those by processes.
"""

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
# Byte positions in the users' packet format.
FLAGS_OFFSET, PADDING, SCRATCH_FIELD = 0, slice(1, 6), slice(10, 14)
FAULT_EFFECT_S = 4.0  # a fault has no consequences later than this after its end
APPLY_DEADLINE_S = 3.0  # until a configuration or a draining target takes effect
ZONE_OUT_DEADLINE_S = 5.0  # until taking a zone out takes effect
COLD_OVERSHOOT_FACTOR, COLD_EXTRA_FLOWS = 1.5, 5
COLD_WINDOW_S = 1.0
# An agent may reset idle flows of a target that has reset this many requests itself
# (docs/design/outliers.md); its window is 2 s, and its reset arrives within 0.5 s.
IMPAIRED_RESETS, IMPAIRED_WINDOW_S = 3, 2.5
IMPAIRED_REASON = "target_failing"


class Invariant(Enum):
    """Checked invariants; each value describes the observed violation."""

    OPEN_FLOWS_NOT_RESET = "an open flow was reset"
    TARGET_PACKETS_UNALTERED = "a target got a packet that no caller wrote"
    CALLER_PACKETS_UNALTERED = "a caller got a packet that no target wrote"
    SERVICES_HAVE_SHARE = "a service that never had a share got a flow"
    CONFIGURATION_APPLIED = "a flow was opened by an old configuration"
    NO_FLOWS_TO_DRAINING_TARGETS = "a draining target got a flow"
    NO_FLOWS_TO_ZONES_OUT = "a zone taken out got a flow"
    COLD_START_LIMITED = "a cold target got too many flows"
    NO_UNEXPECTED_EXITS = "a process ended by itself"
    PROCESSES_READY = "a process is not ready"
    OPEN_FLOWS_FOUND = "an open flow was not found"
    NEW_FLOWS_SERVED = "a new flow was not served"
    TARGETS_RECOVERED = "a target that recovered got no flow"
    MEMORY_BOUNDED = "a process is too large"
    LOGS_CLEAN = "a log shows a failure of the program"


@dataclass(frozen=True)
class Violation:
    """Observed violation of an invariant.

    Attributes
    ----------
    at_s : float
        Time of the observation in seconds since the start of the checker.
    invariant : Invariant
    detail : str
        Hosts, flows and values involved.
    """

    at_s: float
    invariant: Invariant
    detail: str


@dataclass
class Publication:
    """Last published state of one item: the split, a zone or a target.

    Attributes
    ----------
    published_at : float
        Time of the publication, by the event loop's clock in seconds.
    value : object
        Published value, if the publication has one.
    """

    published_at: float
    value: object = None


@dataclass
class InvariantChecker:
    """Checks the invariants on packets where callers and targets receive them.

    Times are those of the event loop's clock in seconds.

    Attributes
    ----------
    started_at : float
    sent_packets : dict of bytes to set of bytes
        Packets that callers and targets sent, by flow, without routing fields.
    first_sent_at : dict of bytes to float
        Time at which the caller first sent the first packet of each flow.
    shares : Publication
        Services that receive new flows.
    ever_shared : set of str
        Services that have had a share at any time.
    zones_out, draining : dict of str to Publication
        Zones, and targets by name of host, that receive no new flows.
    cold_limits_per_s : dict of int to float
        New flows per second that a cold target can serve, by host.
    opened_flows : dict of int to deque of (float, bytes)
        Recent flows of each cold target by host: time of arrival and flow.
    target_resets : dict of str to list of float
        Times at which each target reset a flow itself, by name of host.
    released_flows : set of bytes
        Flows that the agent of an impaired target reset; their callers gave them up.
    faults : list of list of float
        Start and end of each fault.
    violations : list of Violation
    """

    started_at: float
    sent_packets: dict[FlowKey, set[bytes]] = field(
        default_factory=lambda: defaultdict(set)
    )
    first_sent_at: dict[FlowKey, float] = field(default_factory=dict)
    shares: Publication = field(default_factory=lambda: Publication(0.0, ()))
    ever_shared: set[str] = field(default_factory=set)
    zones_out: dict[str, Publication] = field(default_factory=dict)
    draining: dict[str, Publication] = field(default_factory=dict)
    cold_limits_per_s: dict[int, float] = field(default_factory=dict)
    opened_flows: dict[int, deque] = field(default_factory=lambda: defaultdict(deque))
    target_resets: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    released_flows: set[FlowKey] = field(default_factory=set)
    faults: list[list[float]] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)

    def record_violation(self, now: float, invariant: Invariant, detail: str) -> None:
        """Record a violation of an invariant."""
        at_s = round(now - self.started_at, 2)
        self.violations.append(Violation(at_s, invariant, detail))

    def is_undisturbed_since(self, start: float) -> bool:
        """Return whether no fault had consequences since a time."""
        return all(end < start - FAULT_EFFECT_S for _, end in self.faults)

    def record_sent_packet(self, packet: bytes, now: float, *, by_target: bool) -> None:
        """Record a packet as a caller or target sent it."""
        parse = parse_target_packet if by_target else parse_caller_packet
        flow = parse(packet).flow
        self.sent_packets[flow].add(_clear_routing_fields(packet))
        if not by_target and packet[FLAGS_OFFSET] & SYN:
            self.first_sent_at.setdefault(flow, now)

    def record_target_reset(self, name: str, now: float) -> None:
        """Record that the target of a host reset a flow itself."""
        self.target_resets[name].append(now)

    def is_impaired(self, name: str, now: float) -> bool:
        """Return whether the target of a host has just reset several requests."""
        recent = self.target_resets[name][-IMPAIRED_RESETS:]
        return len(recent) == IMPAIRED_RESETS and now - recent[0] <= IMPAIRED_WINDOW_S

    def check_at_target(self, target, loopback_host, packet: bytes, now: float) -> None:
        """Check a packet that an agent delivered to its target."""
        try:
            segment = parse_caller_packet(packet)
        except MalformedPacketError as error:
            self.record_violation(
                now,
                Invariant.TARGET_PACKETS_UNALTERED,
                f"{loopback_host.name}: {error}",
            )
            return
        if _clear_routing_fields(packet) not in self.sent_packets[segment.flow]:
            self.record_violation(
                now,
                Invariant.TARGET_PACKETS_UNALTERED,
                f"{loopback_host.name} received {packet[:36].hex()}",
            )
        if segment.opens:
            self._check_first_packet(target, loopback_host, segment.flow, now)

    def check_at_caller(
        self,
        caller,
        holder: str | None,
        packet: bytes,
        now: float,
        *,
        reason: str = "",
    ) -> None:
        """Check a packet that reached a caller.

        Parameters
        ----------
        caller : FakeCaller
        holder : str or None
            Name of the host whose target holds the caller's flow.
        packet : bytes
        now : float
        reason : str, default=""
            Reason that the holder's agent logged for a reset of this flow.
        """
        if packet[FLAGS_OFFSET] & RST:
            if reason == IMPAIRED_REASON and self.is_impaired(holder, now):
                self.released_flows.add(caller.flow)
            if holder is not None and caller.flow not in self.released_flows:
                port = int.from_bytes(caller.flow[4:6], "big")
                self.record_violation(
                    now,
                    Invariant.OPEN_FLOWS_NOT_RESET,
                    f"port {port} reset, {holder} holds it, reason {reason}",
                )
        elif _clear_routing_fields(packet) not in self.sent_packets[caller.flow]:
            self.record_violation(
                now,
                Invariant.CALLER_PACKETS_UNALTERED,
                f"caller received {packet[:36].hex()}",
            )

    def _check_first_packet(
        self, target, loopback_host, flow: FlowKey, now: float
    ) -> None:
        service = target.entry.service
        if service not in self.ever_shared:
            self.record_violation(
                now, Invariant.SERVICES_HAVE_SHARE, f"{loopback_host.name} of {service}"
            )
        if service not in self.shares.value:
            self._check_deadline(
                Invariant.CONFIGURATION_APPLIED,
                self.shares,
                APPLY_DEADLINE_S,
                loopback_host,
                flow,
                now,
            )
        if loopback_host.name in self.draining:
            publication = self.draining[loopback_host.name]
            self._check_deadline(
                Invariant.NO_FLOWS_TO_DRAINING_TARGETS,
                publication,
                APPLY_DEADLINE_S,
                loopback_host,
                flow,
                now,
            )
        if loopback_host.zone in self.zones_out:
            publication = self.zones_out[loopback_host.zone]
            self._check_deadline(
                Invariant.NO_FLOWS_TO_ZONES_OUT,
                publication,
                ZONE_OUT_DEADLINE_S,
                loopback_host,
                flow,
                now,
            )
        if target.host in self.cold_limits_per_s:
            self._check_cold_start(target.host, flow, now)

    def _check_deadline(
        self, invariant, publication, deadline_s, loopback_host, flow, now
    ) -> None:
        """Report a flow that contradicts a publication and began after its deadline.

        Flows are not reported if a fault had consequences since the publication.
        """
        sent_at = self.first_sent_at[flow]
        if sent_at <= publication.published_at + deadline_s:
            return
        if self.is_undisturbed_since(publication.published_at):
            delay_s = round(sent_at - publication.published_at, 2)
            self.record_violation(
                now,
                invariant,
                f"{loopback_host.name}, sent {delay_s} s after the publication",
            )

    def _check_cold_start(self, host: int, flow: FlowKey, now: float) -> None:
        recent = self.opened_flows[host]
        if any(flow == other for _, other in recent):
            return
        recent.append((now, flow))
        while recent[0][0] <= now - COLD_WINDOW_S:
            recent.popleft()
        sent = sorted(self.first_sent_at[other] for _, other in recent)
        count = len(sent) - bisect_left(sent, now - COLD_WINDOW_S)
        limit = self.cold_limits_per_s[host] * COLD_OVERSHOOT_FACTOR + COLD_EXTRA_FLOWS
        if count > limit:
            self.record_violation(
                now,
                Invariant.COLD_START_LIMITED,
                f"{format_host(host)}: {count} flows in a second",
            )


def _clear_routing_fields(packet: bytes) -> bytes:
    """Return a packet with the fields cleared that the system may change."""
    packet = bytearray(packet)
    packet[FLAGS_OFFSET] &= ~BOUNCED & 0xFF
    packet[PADDING] = bytes(5)
    packet[SCRATCH_FIELD] = bytes(4)
    return bytes(packet)
