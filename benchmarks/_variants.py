"""Entry point for one process of the full system or of a baseline.

Usage: ``python -m benchmarks._variants {plantainyoke,hash,no-relay} SETTINGS``. The
baseline ``hash`` steers every packet by a hash of the caller's address; ``no-relay``
disables the relaying of requests between agents. ``bench_fleet`` compares them with the
full system.
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
    """Baseline that steers each packet by the caller's address alone.

    The index of the selected agent is the hash of the address modulo the number of
    unsuspected agents.
    """

    def receive(self, service_id: int, datagram: bytes, source) -> None:
        """Store the caller's address for ``decide`` and forward the datagram."""
        self.caller_address = pack_address(source).to_bytes(6, "big")
        self.steering.decide = self.decide
        super().receive(service_id, datagram, source)

    def decide(self, datagram: bytes, service, now: float) -> Decision | Drop:
        """Return the decision for a packet without reading its connection ID."""
        packet = parse_packet(datagram)
        if type(packet) is UnroutablePacket:
            return Drop(packet.reason)
        agents = service.get_candidate_table(self.node.snapshot.zones_out).agents
        unsuspected = [agent for agent in agents if not self.detector.is_suspect(agent)]
        unsuspected = unsuspected or agents
        if not unsuspected:
            return Drop("no_target")
        agent = unsuspected[
            xxhash.xxh64_intdigest(self.caller_address) % len(unsuspected)
        ]
        is_initial = type(packet) is InitialPacket
        reason = DecisionReason.TABLE if is_initial else DecisionReason.CONNECTION_ID
        return Decision(agent, [], reason)


def main() -> int:
    """Run the daemon with the changes of the selected variant."""
    variant, settings = sys.argv[1:]
    if variant == "hash":
        balancer_module.Balancer = HashBalancer
    if variant == "no-relay":
        daemon.ROLE_STARTERS["agent"] = functools.partial(start_agent, can_relay=False)
    return daemon.main(["--settings", settings])


if __name__ == "__main__":
    sys.exit(main())
