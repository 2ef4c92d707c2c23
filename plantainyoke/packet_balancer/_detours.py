"""Detours of a balancer's messages around a silent path to another zone.

Load pattern: two zones cannot reach each other while a third reaches both. Callers at
the balancers of the one have open flows at targets of the other, and each request on
them fails although a way exists.

The direct path to an agent of another zone is silent if the agent did not answer a
first packet or an inquiry in time, or if no agent of its zone sent anything for
`ZONE_SILENT_S` after a packet was sent there. Messages for that agent then go through
an agent of a third zone that is heard, in RELAY, until a message of the agent arrives
directly. The direct path is tried with a query once per second.

Nothing here reads a clock or a socket: times and the function that sends are arguments.
"""

from collections.abc import Callable

import msgspec

from plantainyoke.catalogue import Catalogue, Target
from plantainyoke.flows import (
    FLOW_KEY_BYTES,
    Ingress,
    Message,
    MessageKind,
    decode_relay_body,
    encode_message,
    encode_relay_body,
)
from plantainyoke.network import format_host
from plantainyoke.placement import AgentTable, select_by_rendezvous
from plantainyoke.telemetry import Metrics, log_event

# An agent reports to 8 balancers in 0.25 s, so each of 24 gets a report every 0.75 s.
# With more balancers, one with flows at a single agent of a zone may wait for longer.
ZONE_SILENT_S = 1.0
DIRECT_PROBE_INTERVAL_S = 1.0
RELAY_HEARD_S = 2.5  # a round of load reports at 60 balancers, and some
REPORT_INTERVAL_S = 0.3  # an agent answers relayed messages every 0.25 s
RELAY_SILENT_S = 0.4  # then the next relay is tried
MAX_RELAYS = 3  # tried before the agent itself counts as down
SUSPENSION_S = 5.0  # then the direct path only, as for silent agents in placement
NO_FLOW = bytes(FLOW_KEY_BYTES)  # flow of the queries that try the direct path


class Detour(msgspec.Struct):
    """Way to one agent through an agent of a third zone.

    Attributes
    ----------
    relay : int
        Host of the agent that forwards, 0 if there is none at present.
    tried : set of int
        Relays over which the agent did not answer since its last answer.
    answered_at : float
        Time of the agent's latest message over a relay, in seconds.
    unanswered_since : float
        Time of the first message since then that the agent should have answered, 0 if
        there is none.
    probed_at : float
        Time at which the direct path was last tried.
    suspended_until : float
        Time until which messages go the direct way.
    """

    relay: int = 0
    tried: set[int] = msgspec.field(default_factory=set)
    answered_at: float = float("-inf")
    unanswered_since: float = 0.0
    probed_at: float = float("-inf")
    suspended_until: float = 0.0


class DetourTable:
    """Decides which messages take a detour, and sends them.

    Parameters
    ----------
    ingress : Ingress
        The balancer itself.
    zone : str
    catalogue : Catalogue
    agents : AgentTable
    send_to_agent : callable
        Called with a host and a datagram.
    metrics : Metrics
    is_enabled : bool

    Attributes
    ----------
    now : float
        Time of the event that is being handled, in seconds.
    detours : dict of int to Detour
        By the host of the agent that cannot be reached directly.
    unanswered_since : dict of str to float
        Time of the first message to a zone since one of its agents was heard.
    """

    def __init__(
        self,
        *,
        ingress: Ingress,
        zone: str,
        catalogue: Catalogue,
        agents: AgentTable,
        send_to_agent: Callable[[int, bytes], None],
        metrics: Metrics,
        is_enabled: bool,
    ) -> None:
        self.ingress = ingress
        self.zone = zone
        self.catalogue = catalogue
        self.agents = agents
        self.send_to_agent = send_to_agent
        self.metrics = metrics
        self.is_enabled = is_enabled
        self.now = 0.0
        self.detours: dict[int, Detour] = {}
        self.unanswered_since: dict[str, float] = {}

    def send(self, host: int, datagram: bytes) -> None:
        """Send a message to an agent, on the way that works."""
        relay = self._select_relay(host) if self.is_enabled else 0
        if not relay:
            self.send_to_agent(host, datagram)
            return
        self.metrics.counters["relay.sent"] += 1
        body = encode_relay_body(host, datagram)
        self.send_to_agent(relay, self._encode(MessageKind.RELAY, body))

    def record_direct(self, source: int) -> None:
        """Record a message that arrived directly: it ends the agent's detour."""
        target = self.catalogue.target_by_host.get(source)
        if target is not None:
            self.unanswered_since.pop(target.zone, None)
        detour = self.detours.pop(source, None)
        if detour is not None and detour.relay:
            log_event("relay_ended", agent=format_host(source))

    def receive(self, message: Message, source: int) -> tuple[Message, int] | None:
        """Return the message that a RELAY contains and the agent that sent it."""
        relayed = decode_relay_body(message.body)
        origin, known = message.ingress.host, self.catalogue.target_by_host
        is_valid = (
            message.hops == 1
            and relayed.final_host == self.ingress.host
            and source in known
            and (origin in known or origin in self.catalogue.departure_times)
        )
        if not is_valid:
            self.metrics.counters["drop.relay"] += 1
            return None
        detour = self.detours.get(origin)
        if detour is not None:
            detour.answered_at, detour.unanswered_since = self.now, 0.0
            detour.tried = set()
        return relayed.message, origin

    def clear_silence(self) -> None:
        """Forget what was not answered, because this process was paused."""
        self.detours.clear()
        self.unanswered_since.clear()

    def _select_relay(self, host: int) -> int:
        """Return the agent through which to send, 0 for the direct way."""
        target = self.catalogue.target_by_host.get(host)
        if target is None or target.zone == self.zone:
            return 0
        detour = self.detours.get(host)
        if detour is None:
            if not self._is_silent(target):
                return 0
            detour = self.detours[host] = Detour()
        now = self.now
        if now < detour.suspended_until:
            return 0
        if detour.unanswered_since and now - detour.unanswered_since > RELAY_SILENT_S:
            detour.tried.add(detour.relay)
            detour.relay = 0
        if not detour.relay and not self._start_relay(target, detour):
            return 0
        if not detour.unanswered_since and now - detour.answered_at > REPORT_INTERVAL_S:
            detour.unanswered_since = now
        if now - detour.probed_at >= DIRECT_PROBE_INTERVAL_S:
            detour.probed_at = now
            self.send_to_agent(host, self._encode(MessageKind.QUERY, NO_FLOW))
        return detour.relay

    def _is_silent(self, target: Target) -> bool:
        since = self.unanswered_since.setdefault(target.zone, self.now)
        agent = self.agents.agents.get(target.host)
        return self.now - since > ZONE_SILENT_S or (
            agent is not None and agent.is_silent(self.now)
        )

    def _start_relay(self, target: Target, detour: Detour) -> bool:
        """Choose the next relay for an agent, and return whether there is one."""
        detour.unanswered_since = 0.0
        candidates = [
            candidate
            for candidate in self.catalogue.target_by_host.values()
            if candidate.zone not in (self.zone, target.zone)
            and candidate.host not in detour.tried
            and candidate.host not in self.detours
            and self._is_heard(candidate.host)
        ]
        if not candidates or len(detour.tried) >= MAX_RELAYS:
            detour.tried = set()
            detour.suspended_until = self.now + SUSPENSION_S
            return False
        pair = b"".join(
            one.to_bytes(4, "big") for one in (self.ingress.host, target.host)
        )
        detour.relay = select_by_rendezvous(candidates, pair, 1)[0].host
        log_event(
            "relay_started",
            agent=format_host(target.host),
            relay=format_host(detour.relay),
        )
        return True

    def _is_heard(self, host: int) -> bool:
        agent = self.agents.agents.get(host)
        return (
            agent is not None
            and not agent.is_silent(self.now)
            and self.now - agent.last_message_at < RELAY_HEARD_S
        )

    def _encode(self, kind: int, body: bytes) -> bytes:
        return encode_message(
            kind, body, ingress=self.ingress, revision=self.catalogue.revision
        )
