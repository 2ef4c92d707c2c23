"""Runs a process of the system, or of a baseline that leaves something out.

Usage: ``python -m benchmarks._variants {plantainyoke,hash,no-relay} SETTINGS``.
"""

import functools
import sys

import xxhash

from plantainyoke.agent import start_agent
from plantainyoke.balancer import Balancer, Decision, DecisionReason, Drop
from plantainyoke.balancer import _balancer as balancer_module
from plantainyoke.cli import daemon
from plantainyoke.network import (
    pack_address,
)
from plantainyoke.routing import InitialPacket, UnroutablePacket, parse_packet


class HashBalancer(Balancer):
    """Baseline: client address modulo the live targets, for every packet."""

    def receive(self, service_id: int, datagram: bytes, source) -> None:
        """Remember the caller for the decision."""
        self.client = pack_address(source).to_bytes(6, "big")
        self.steering.decide = self.decide
        super().receive(service_id, datagram, source)

    def decide(self, datagram: bytes, service, now: float) -> Decision | Drop:
        """Ignore the connection ID."""
        packet = parse_packet(datagram)
        if type(packet) is UnroutablePacket:
            return Drop(packet.reason)
        agents = service.get_candidate_table(self.node.snapshot.zones_out).agents
        live = [agent for agent in agents if not self.detector.is_suspect(agent)]
        live = live or agents
        if not live:
            return Drop("no_target")
        agent = live[xxhash.xxh64_intdigest(self.client) % len(live)]
        first = type(packet) is InitialPacket
        reason = DecisionReason.TABLE if first else DecisionReason.CONNECTION_ID
        return Decision(agent, [], reason)


def main() -> int:
    """Run the daemon, changed as the variant asks."""
    variant, settings = sys.argv[1:]
    if variant == "hash":
        balancer_module.Balancer = HashBalancer
    if variant == "no-relay":
        daemon.ROLE_STARTERS["agent"] = functools.partial(start_agent, can_relay=False)
    return daemon.main(["--settings", settings])


if __name__ == "__main__":
    sys.exit(main())
