"""Compare the CPU time per packet of the balancer with a bare uvloop UDP relay.

Usage: ``python benchmarks/bench_forwarding.py [--out FILE]``. CPU time is
``time.process_time`` of one process that only relays; the sender and the sink are
separate processes. Rounds alternate, and ratios are those of their medians. The time of
one steering decision is measured for several numbers of services.
"""

import argparse
import asyncio
import json
import multiprocessing
import os
import random
import socket
import statistics
import sys
import time
from contextlib import AsyncExitStack
from pathlib import Path

import uvloop

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from plantainyoke.balancer import Balancer, DatagramSteering  # noqa: E402
from plantainyoke.configuration import (  # noqa: E402
    ConfigurationState,
    FleetFile,
    KeySettings,
    ServiceFile,
    Settings,
    build_documents,
)
from plantainyoke.hashing import (
    compute_service_id,
    compute_zone_id,
)
from plantainyoke.network import (
    pack_address,
)
from plantainyoke.node import start_node  # noqa: E402
from plantainyoke.routing import (  # noqa: E402
    ConnectionIdCodec,
    ConnectionTarget,
)
from plantainyoke.wire import (  # noqa: E402
    EnvelopeCodec,
    MessageAuthenticator,
    Reply,
)

PACKET_SIZE = 1200
PACKETS = 20_000
BATCH = 16
ROUNDS = 5
HOST = "127.24.0.1"
RELAY = (HOST, 9000)
SERVICE = (HOST, 4433)
PEER = (HOST, 7000)
SINK = ("127.24.0.2", 7000)
KEYS = KeySettings.model_validate(
    {
        "peer": ["aa" * 16],
        "routing": [{"rotation": 0, "secret": "bb" * 16}],
    }
)
MICROSECONDS = 1e6


def build_state(service_count: int) -> ConfigurationState:
    fleet = FleetFile.model_validate(
        {"generation": 1, "zones": {"plateau": "in"}, "networks": ["127.0.0.0/8"]}
    )
    services = [
        ServiceFile.model_validate(
            {
                "service": f"service-{number}",
                "address": f"127.25.{number // 250}.{number % 250 + 1}:4433"
                if number
                else f"{HOST}:4433",
                "slots": 4,
                "targets": [
                    {
                        "agent": f"127.{100 + index}.{number // 250}."
                        f"{number % 250 + 1}:7000"
                        if number or index
                        else f"{SINK[0]}:{SINK[1]}",
                        "zone": "plateau",
                    }
                    for index in range(3)
                ],
            }
        )
        for number in range(service_count)
    ]
    state = ConfigurationState()
    built = build_documents(fleet, services).unwrap()
    state.apply(
        state.check_index(built.index_document).unwrap(), built.chunk_documents
    ).unwrap()
    return state


def run_sink(ready) -> None:
    receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    receiver.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 24)
    receiver.bind(SINK)
    ready.set()
    while True:
        receiver.recv(4096)


def send_packets(destination, packet: bytes, done) -> None:
    """Send paced batches that keep the receiver busy but lose few packets."""
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sender.bind(("127.24.0.3", 0))
    for _ in range(PACKETS // BATCH):
        for _ in range(BATCH):
            sender.sendto(packet, destination)
        time.sleep(0.0008)
    done.set()


async def measure(destination, packet: bytes, get_count) -> float:
    """Return the CPU microseconds per packet of this process."""
    done = multiprocessing.Event()
    sender = multiprocessing.Process(
        target=send_packets, args=(destination, packet, done)
    )
    initial_count = get_count()
    sender.start()
    await asyncio.sleep(0.2)
    started, count_before = time.process_time(), get_count()
    while not done.is_set():
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.1)
    cpu = time.process_time() - started
    packets = get_count() - count_before
    sender.join()
    if get_count() - initial_count < PACKETS * 0.5:
        raise RuntimeError("more than half of the packets were lost")
    return cpu / packets * MICROSECONDS


async def run_relay(connection) -> None:
    """Run the bare relay and measure one round per command from the connection."""
    loop = asyncio.get_running_loop()
    counter = {"n": 0}

    class Relay(asyncio.DatagramProtocol):
        def connection_made(self, transport):
            self.transport = transport

        def datagram_received(self, data, source):
            counter["n"] += 1
            self.transport.sendto(data, SINK)

    transport, _ = await loop.create_datagram_endpoint(Relay, local_addr=RELAY)
    packet = os.urandom(PACKET_SIZE)
    while connection.recv() == "round":
        connection.send(await measure(RELAY, packet, lambda: counter["n"]))
    transport.close()


async def run_balancer(connection) -> None:
    """Run a balancer and measure one round per command, in the named direction."""
    settings = Settings.model_validate(
        {
            "name": "bench",
            "role": "balancer",
            "zone": "plateau",
            "listen": f"{PEER[0]}:{PEER[1]}",
            "platform": "http://127.24.0.1:1",
            "keys": KEYS.model_dump(),
        }
    )
    state = build_state(1)
    service = next(iter(state.snapshot.services.values()))
    async with AsyncExitStack() as stack:
        node = await start_node(settings, stack)
        balancer = Balancer(node, random.Random(0))
        pending = node.configuration.check_index(state.index_document).unwrap()
        node.configuration.apply(pending, state.chunk_documents).unwrap()
        target = ConnectionTarget(
            pack_address(SINK), compute_zone_id("plateau"), service.id
        )
        connection_id = ConnectionIdCodec(KEYS.routing_keys).issue_connection_id(target)
        forward = b"\x40" + connection_id + os.urandom(PACKET_SIZE - 18)
        codec = EnvelopeCodec(MessageAuthenticator(KEYS.peer_keys))
        payload = os.urandom(PACKET_SIZE)
        reply = codec.encode_reply(1, Reply(pack_address(SINK), service.id, payload))
        counter = {"n": 0}
        _count_calls(balancer, node, counter)
        while True:
            command = connection.recv()
            if command == "forward":
                result = await measure(SERVICE, forward, lambda: counter["n"])
            elif command == "return":
                result = await measure(PEER, reply, lambda: counter["n"])
            else:
                return
            connection.send(result)


def _count_calls(balancer: Balancer, node, counter: dict) -> None:
    """Replace the send functions of both directions with ones that count datagrams."""
    node_send = node.send
    service_socket = next(iter(balancer.sockets.values()))
    service_send = service_socket.send

    def count_forward(datagram, peer, kind):
        counter["n"] += 1
        return node_send(datagram, peer, kind)

    def count_return(datagram, destination):
        counter["n"] += 1
        return service_send(datagram, destination)

    node.send = count_forward
    service_socket.send = count_return


def run_in_event_loop(target, connection) -> None:
    uvloop.run(target(connection))


def measure_paths() -> dict[str, float]:
    """Return the median CPU microseconds per packet of alternating rounds."""
    ready = multiprocessing.Event()
    sink = multiprocessing.Process(target=run_sink, args=(ready,), daemon=True)
    sink.start()
    ready.wait()
    pipes, processes = {}, []
    for name, target in (("relay", run_relay), ("balancer", run_balancer)):
        parent_end, child_end = multiprocessing.Pipe()
        process = multiprocessing.Process(
            target=run_in_event_loop, args=(target, child_end)
        )
        process.start()
        pipes[name] = parent_end
        processes.append(process)
    rounds: dict[str, list[float]] = {"relay": [], "forward": [], "return": []}
    for _ in range(ROUNDS):
        for name in rounds:
            pipe = pipes["relay" if name == "relay" else "balancer"]
            pipe.send("round" if name == "relay" else name)
            rounds[name].append(pipe.recv())
    for pipe in pipes.values():
        pipe.send("stop")
    for process in processes:
        process.join()
    sink.terminate()
    sink.join()
    return {name: statistics.median(values) for name, values in rounds.items()}


def measure_decisions() -> dict[str, dict[int, float]]:
    """Return the microseconds of one steering decision by number of services."""
    results: dict[str, dict[int, float]] = {"established": {}, "first": {}}
    for count in (10, 1_000, 10_000):
        state = build_state(count)
        steering = DatagramSteering(
            ConnectionIdCodec(KEYS.routing_keys), lambda agent: False, frozenset
        )
        steering.apply(state.snapshot, 0.0)
        service = state.snapshot.services[compute_service_id("service-0")]
        target = ConnectionTarget(
            pack_address(SINK), compute_zone_id("plateau"), service.id
        )
        issue_connection_id = steering.codec.issue_connection_id
        established = [
            b"\x40" + issue_connection_id(target) + bytes(PACKET_SIZE - 18)
            for _ in range(200)
        ]
        initial = [
            b"\xc0\x00\x00\x00\x01\x08" + os.urandom(8) + bytes(PACKET_SIZE - 14)
            for _ in range(200)
        ]
        results["established"][count] = measure_decision_us(
            steering, service, established
        )
        results["first"][count] = measure_decision_us(steering, service, initial)
    return results


def measure_decision_us(
    steering: DatagramSteering, service, packets: list[bytes]
) -> float:
    """Return the microseconds per decision in the fastest of several repetitions."""
    best_s = float("inf")
    for _ in range(20):
        started = time.perf_counter()
        for packet in packets:
            steering.decide(packet, service, 0.0)
        best_s = min(best_s, time.perf_counter() - started)
    return best_s / len(packets) * MICROSECONDS


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path)
    options = parser.parse_args()
    decisions = measure_decisions()
    paths = measure_paths()
    relay = paths["relay"]
    print(f"bare relay      {relay:6.2f} us a packet")
    for name in ("forward", "return"):
        ratio = paths[name] / relay
        print(f"{name:15} {paths[name]:6.2f} us a packet, {ratio:.2f} x (bound 3.0)")
    for name, bound in (("established", 3.0), ("first", 10.0)):
        times = ", ".join(f"{n}: {us:.2f}" for n, us in decisions[name].items())
        print(f"decision {name:12} us by services {times} (bound {bound})")
    if options.out is not None:
        result = {"paths_us": paths, "decisions_us": decisions}
        options.out.write_text(json.dumps(result, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
