"""Monitors the reachability of agents for one balancer.

The monitor probes agents, feeds the failure detectors with probe answers, datagrams of
flows and gossip, and gossips status changes to other balancers. Suspected agents and
zones receive no new flows while others are available; established flows stay.
"""

import asyncio
import random

from plantainyoke.configuration import ConfigurationSnapshot
from plantainyoke.membership import (
    FailureDetector,
    GossipQueue,
    ZoneFailureDetector,
    select_probed_agents,
)
from plantainyoke.network import (
    format_packed_address,
)
from plantainyoke.node import Node
from plantainyoke.publication import HostList
from plantainyoke.telemetry import log_event
from plantainyoke.wire import (
    Condition,
    Gossip,
    Probe,
    ProbeAck,
    TargetState,
    Update,
)

PROBE_INTERVAL_S = 0.5
URGENT_PROBE_INTERVAL_S = 0.3
SUSPECT_PROBE_INTERVAL_S = 1.0
PLAN_INTERVAL_S = 1.0
TICK_S = 0.1
GOSSIP_INTERVAL_S = 0.2
GOSSIP_FANOUT = 2
URGENT_PROBES_PER_TICK = 20


class AgentMonitor:
    """Probes agents and gossips status changes for one balancer.

    Parameters
    ----------
    node : Node
    rng : random.Random
        Draws probe nonces, jitter, gossip peers and the agents sampled in a zone.

    Attributes
    ----------
    agents : dict of int to int
        Zone by packed agent address, of all agents in the configuration.
    agents_by_zone : dict of int to list of int
        Packed agent addresses by zone, of the zones in service.
    probed_agents : list of int
        Packed addresses of the agents that this balancer probes regularly.
    next_probe_at : dict of int to float
        Loop time from which an agent may be probed again.
    """

    def __init__(self, node: Node, rng: random.Random) -> None:
        self.node = node
        self.rng = rng
        self.loop = asyncio.get_running_loop()
        self.gossip = GossipQueue()
        self.detector = FailureDetector(self._announce)
        self.zones = ZoneFailureDetector(rng)
        self.agents_by_zone: dict[int, list[int]] = {}
        self.probed_agents: list[int] = []
        self.planned_at = float("-inf")
        self.plan_inputs: tuple[ConfigurationSnapshot, HostList] | None = None
        self.next_probe_at: dict[int, float] = {}
        self.agents: dict[int, int] = {}
        node.handlers[Probe] = self.answer_probe
        node.handlers[ProbeAck] = self.receive_probe_ack
        node.handlers[Gossip] = self.receive_gossip
        node.pause_detector.listeners.append(self._reset_after_pause)

    def apply(self, snapshot: ConfigurationSnapshot) -> None:
        """Monitor the agents of a new configuration and no others."""
        self.agents = snapshot.zone_by_agent
        self.detector.retain(self.agents)

    def is_suspect(self, agent: int) -> bool:
        """Return whether new flows should avoid an agent or its zone."""
        if self.detector.is_suspect(agent):
            return True
        if not self.zones.is_any_suspect:
            return False
        return self.zones.is_suspect(self.agents.get(agent))

    def record_reply(self, agent: int) -> None:
        """Record a datagram of a flow as evidence that its agent is reachable."""
        self.detector.record_reply(agent)
        if self.zones.statuses:
            self._record_zone_alive(agent)

    def answer_probe(self, probe: Probe, peer: int) -> None:
        """Answer a probe from another process."""
        self.node.follower.record_child(peer)
        ack = ProbeAck(probe.nonce, 0, TargetState.SERVING, 0, 0, 0, 0)
        envelope = self.node.codec.encode_probe_ack(self.node.generation, ack)
        self.node.send(envelope, peer, "bytes.probe_answer")

    def receive_probe_ack(self, ack: ProbeAck, peer: int) -> None:
        """Record a probe's answer as evidence that the agent is reachable."""
        if ack.liveness and peer in self.agents:
            self.detector.record_probe_ack(peer, ack.liveness, self.loop.time())
            self._record_zone_alive(peer)

    def receive_gossip(self, gossip: Gossip, peer: int) -> None:
        """Apply another balancer's status changes and forward those that are new."""
        now = self.loop.time()
        for update in gossip.updates:
            if update.target not in self.agents:
                continue
            if self.detector.record_gossip(update, now):
                self.gossip.add(update)
                self._log_change(update, "gossip")
        for zone in gossip.zones:
            self.zones.record_remote_suspicion(zone, now)

    async def run(self) -> None:
        """Probe and gossip until cancelled."""
        gossip_at = 0.0
        while True:
            await asyncio.sleep(TICK_S)
            now = self.loop.time()
            self.node.pause_detector.check(now)
            self._update_probe_plan()
            self._probe_due_agents(now)
            self._check_zones(now)
            if now >= gossip_at:
                gossip_at = now + GOSSIP_INTERVAL_S
                self._send_gossip()

    def _update_probe_plan(self) -> None:
        current = (self.node.snapshot, self.node.hosts)
        if self.plan_inputs is not None and all(
            old is new for old, new in zip(self.plan_inputs, current, strict=True)
        ):
            return
        now = self.loop.time()
        if now - self.planned_at < PLAN_INTERVAL_S:
            return
        self.planned_at = now
        self.plan_inputs = current
        zones_out = self.node.snapshot.zones_out
        agents = {
            agent: zone
            for agent, zone in self.node.snapshot.zone_by_agent.items()
            if zone not in zones_out
        }
        self.probed_agents = select_probed_agents(
            self.node.hosts, agents, self.node.address
        )
        self.agents_by_zone = {}
        for agent, zone in agents.items():
            self.agents_by_zone.setdefault(zone, []).append(agent)

    def _probe_due_agents(self, now: float) -> None:
        self.detector.expire_probes(now)
        urgent_agents = list(self.detector.urgent_agents)[:URGENT_PROBES_PER_TICK]
        for agent in urgent_agents:
            if not self.node.is_peer_allowed(agent):
                self.detector.urgent_agents.discard(agent)
                continue
            is_suspect = self.detector.is_suspect(agent)
            interval_s = (
                SUSPECT_PROBE_INTERVAL_S if is_suspect else URGENT_PROBE_INTERVAL_S
            )
            self._probe_if_due(agent, now, interval_s)
        for agent in self.probed_agents:
            if agent not in self.detector.urgent_agents:
                self._probe_if_due(agent, now, PROBE_INTERVAL_S)

    def _check_zones(self, now: float) -> None:
        for agent in self.zones.sample_agents(now, self.agents_by_zone):
            self._send_probe(agent)
        for zone in self.zones.confirm_suspects(now):
            name = self.node.snapshot.zone_names.get(zone, str(zone))
            self.node.metrics.count("detector.zone_suspected")
            log_event("zone_suspected", suspected=name)

    def _record_zone_alive(self, agent: int) -> None:
        zone = self.agents.get(agent)
        if zone is not None and self.zones.record_alive(zone, self.loop.time()):
            self.node.metrics.count("detector.zone_refuted")
            log_event("zone_refuted", zone=self.node.snapshot.zone_names.get(zone))

    def _probe_if_due(self, agent: int, now: float, interval_s: float) -> None:
        if now < self.next_probe_at.get(agent, 0.0):
            return
        self.next_probe_at[agent] = now + interval_s * (0.9 + 0.2 * self.rng.random())
        if self._send_probe(agent):
            self.detector.record_probe(agent, now)

    def _send_probe(self, agent: int) -> bool:
        suspected_liveness = self.detector.get_suspected_liveness(agent)
        probe = Probe(self.rng.getrandbits(63), True, suspected_liveness)
        envelope = self.node.codec.encode_probe(self.node.generation, probe)
        return self.node.send(envelope, agent, "bytes.probe")

    def _send_gossip(self) -> None:
        peers = [
            entry.address
            for entry in self.node.hosts.list_balancers()
            if entry.address != self.node.address
            and self.node.is_peer_allowed(entry.address)
        ]
        zones = self.zones.list_suspects()
        if not peers or not (zones or self.gossip.pending):
            return
        for peer in self.rng.sample(peers, min(GOSSIP_FANOUT, len(peers))):
            gossip = Gossip(self.gossip.take_batch(len(peers)), zones)
            envelope = self.node.codec.encode_gossip(self.node.generation, gossip)
            self.node.send(envelope, peer, "bytes.gossip")

    def _announce(self, update: Update) -> None:
        zone = self.agents.get(update.target)
        if update.condition is Condition.SUSPECT and zone is not None:
            self.zones.record_suspect(zone, update.target)
        self.gossip.add(update)
        self._log_change(update, "own")

    def _log_change(self, update: Update, evidence: str) -> None:
        is_suspect = update.condition is Condition.SUSPECT
        name = "target_suspected" if is_suspect else "target_refuted"
        self.node.metrics.count(f"detector.{name}")
        log_event(name, target=format_packed_address(update.target), evidence=evidence)

    def _reset_after_pause(self, gap_s: float) -> None:
        self.node.metrics.count("process.paused")
        log_event("process_paused", seconds=round(gap_s, 2))
        self.detector.reset_after_pause(self.loop.time())
        self.zones.reset_after_pause()
