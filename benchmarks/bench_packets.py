"""Measure the CPU time per packet and the memory per flow of the packet path.

Usage: ``python benchmarks/bench_packets.py [--output FILE]``. Measures a balancer with
several numbers of cached flows, an agent in both directions and, in the same run, a
bare relay for comparison. Every time includes one receive and one send on a loopback
socket.
"""

import argparse
import json
import logging
import socket
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from plantainyoke.flows import (  # noqa: E402
    Ingress,
    Load,
    MessageKind,
    decode_message,
    encode_load_body,
    encode_message,
)
from plantainyoke.platform import (  # noqa: E402
    parse_caller_packet,
    parse_target_packet,
    peek_flow_key,
)
from plantainyoke.standins import PacketSimulation  # noqa: E402
from plantainyoke.standins._packet_simulation import ACK, SYN, write_packet  # noqa: E402
from plantainyoke.telemetry import get_logger  # noqa: E402

RESULTS = ROOT / "benchmarks" / "results" / "packets.json"
PACKETS = 4000
BATCH = 100  # packets that fit into the receive buffer of the socket
ROUNDS = 7
FLOW_COUNTS = (1_000, 10_000, 200_000)
PAYLOAD = b"x" * 200
FIRST_OFFSET = ROUNDS * PACKETS
HOLDER = 10
BALANCER = 100


class Loopback:
    """Loopback UDP sockets that carry packets to and from the measured code."""

    def __init__(self) -> None:
        self.sender, self.receiver, self.sink = (
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(3)
        )
        for endpoint in (self.receiver, self.sink):
            endpoint.bind(("127.0.0.1", 0))
            endpoint.setblocking(False)
        self.receiver_address = self.receiver.getsockname()
        self.sink_address = self.sink.getsockname()

    def send(self, datagram: bytes) -> None:
        """Send a datagram to the sink."""
        self.sender.sendto(datagram, self.sink_address)

    def drain(self) -> None:
        """Discard all datagrams that the sink has received."""
        try:
            while True:
                self.sink.recv(4096)
        except BlockingIOError:
            pass

    def close(self) -> None:
        """Close all sockets."""
        for endpoint in (self.sender, self.receiver, self.sink):
            endpoint.close()


def measure(
    loopback: Loopback, build_packet: Callable[[int], bytes], handle: Callable
) -> float:
    """Return the processor time per packet in microseconds, as the median of rounds.

    Parameters
    ----------
    loopback : Loopback
    build_packet : callable
        Returns the packet of a number; each number is requested once.
    handle : callable
        Measured code; receives one datagram and sends one.
    """
    samples = []
    for round_number in range(ROUNDS):
        packets = [
            build_packet(round_number * PACKETS + number) for number in range(PACKETS)
        ]
        cpu_s = 0.0
        for start in range(0, len(packets), BATCH):
            batch = packets[start : start + BATCH]
            for packet in batch:
                loopback.sender.sendto(packet, loopback.receiver_address)
            started = time.process_time()
            for _ in batch:
                datagram, _ = loopback.receiver.recvfrom(4096)
                handle(datagram)
            cpu_s += time.process_time() - started
            loopback.drain()
        samples.append(cpu_s / len(packets) * 1e6)
    return round(statistics.median(samples), 2)


def build_flow_key(number: int) -> bytes:
    """Return the key of the flow with this number."""
    port, caller = number % 60_000 + 1000, 0x64400000 + number // 60_000
    return (
        b"\xc6\x12\x00\x01"
        + port.to_bytes(2, "big")
        + b"\x01\xbb"
        + caller.to_bytes(4, "big")
    )


def build_simulation(loopback: Loopback) -> PacketSimulation:
    """Return a simulation whose balancers and agents send to the sink."""
    simulation = PacketSimulation({"orders": 7})
    simulation.transmit = lambda source, host, datagram: loopback.send(datagram)
    simulation.send_to_caller = lambda flow, packet: loopback.send(packet)
    for host in simulation.targets:
        simulation.start_agent(host)
        simulation.targets[host].receive = loopback.send
    for host in simulation.balancers:
        simulation.start_balancer(host)
    return simulation


def fill_cache(simulation: PacketSimulation, count: int) -> float:
    """Fill the flow cache of a balancer; return the memory per flow in bytes."""
    steering = simulation.get_balancer(BALANCER)
    tracemalloc.start()
    for number in range(count):
        body = encode_load_body(build_flow_key(number), Load())
        message = encode_message(MessageKind.HELD, body, ingress=Ingress(), revision=1)
        steering.receive_message(decode_message(message), HOLDER, simulation.now)
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size_bytes / count


def bench_balancer(loopback: Loopback, count: int) -> dict[str, float]:
    """Measure a balancer that has ``count`` flows in its cache."""
    simulation = build_simulation(loopback)
    bytes_per_flow = fill_cache(simulation, count)
    steering = simulation.get_balancer(BALANCER)

    def handle(datagram: bytes) -> None:
        flow, opens = peek_flow_key(datagram)
        if opens or not steering.try_forward(flow, datagram, simulation.now):
            steering.receive_from_caller(parse_caller_packet(datagram), simulation.now)

    def build_known_packet(number: int) -> bytes:
        flow = build_flow_key(number * 7919 % count)
        return write_packet(flow, ACK, payload=PAYLOAD)

    def build_unknown_packet(number: int) -> bytes:
        return write_packet(build_flow_key(count + number), ACK, payload=PAYLOAD)

    def build_first_packet(number: int) -> bytes:
        return write_packet(build_flow_key(2 * count + FIRST_OFFSET + number), SYN)

    return {
        "flows": count,
        "bytes_a_flow": round(bytes_per_flow),
        "cached_us": measure(loopback, build_known_packet, handle),
        "miss_us": measure(loopback, build_unknown_packet, handle),
        "first_packet_us": measure(loopback, build_first_packet, handle),
    }


def bench_agent(loopback: Loopback) -> dict[str, float]:
    """Measure an agent in both directions, and its memory per flow and pointer."""
    simulation = build_simulation(loopback)
    agent = simulation.get_agent(HOLDER)
    flows = [build_flow_key(number) for number in range(1000)]
    tracemalloc.start()
    for flow in flows:
        agent.flow_table.add_held(
            flow, ingress=Ingress(BALANCER, 1), now=simulation.now
        )
    size_bytes, _ = tracemalloc.get_traced_memory()
    for flow in flows:
        agent.finder.holder_table.register(flow, HOLDER, simulation.now)
    size_with_pointers_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()

    def handle_message(datagram: bytes) -> None:
        agent.receive_message(decode_message(datagram), BALANCER, simulation.now)

    def handle_target_packet(datagram: bytes) -> None:
        agent.receive_from_target(parse_target_packet(datagram), simulation.now)

    def encode_forward(packet: bytes) -> bytes:
        ingress = Ingress(BALANCER, 1)
        return encode_message(MessageKind.FORWARD, packet, ingress=ingress, revision=1)

    def build_request(number: int) -> bytes:
        return encode_forward(write_packet(flows[number % 1000], ACK, payload=PAYLOAD))

    def build_reply(number: int) -> bytes:
        flow = flows[number % 1000]
        return write_packet(flow, ACK, payload=PAYLOAD, from_target=True)

    return {
        "bytes_a_flow": round(size_bytes / len(flows)),
        "bytes_a_pointer": round((size_with_pointers_bytes - size_bytes) / len(flows)),
        "to_target_us": measure(loopback, build_request, handle_message),
        "from_target_us": measure(loopback, build_reply, handle_target_packet),
    }


def main() -> None:
    """Run the benchmark and write its result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", type=Path, default=RESULTS)
    options = parser.parse_args()
    get_logger().setLevel(logging.ERROR)
    loopback = Loopback()
    packet = write_packet(build_flow_key(1), ACK, payload=PAYLOAD)
    result = {
        "bare_relay_us": measure(loopback, lambda _: packet, loopback.send),
        "balancer": [bench_balancer(loopback, count) for count in FLOW_COUNTS],
        "agent": bench_agent(loopback),
    }
    loopback.close()
    options.output.write_text(json.dumps(result, indent=2) + "\n")
    print(json.dumps(result, indent=2))


if __name__ == "__main__":
    main()
