"""Measure how the cost of the control plane grows with the size of the fleet.

Usage: ``python benchmarks/bench_slopes.py [--out FILE]``. Covers configuration,
membership, gossip, messages, host list and idempotency records. Each size runs in a
separate process, so that its memory doesn't include that of other sizes. Times are the
best of several repetitions; memory is that of traced allocations.
"""

import argparse
import functools
import gc
import importlib
import json
import multiprocessing
import random
import resource
import sys
import time
import tracemalloc
import zlib
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from plantainyoke.agent import IdempotencyRecords, Request  # noqa: E402
from plantainyoke.balancer._agent_monitor import (  # noqa: E402
    GOSSIP_FANOUT,
    GOSSIP_INTERVAL_S,
)
from plantainyoke.configuration import (  # noqa: E402
    ConfigurationState,
    FleetFile,
    ServiceFile,
    build_documents,
    compute_digest,
    parse_index,
)
from plantainyoke.configuration._delta import encode_delta  # noqa: E402
from plantainyoke.hashing import compute_zone_id  # noqa: E402
from plantainyoke.membership import (  # noqa: E402
    FailureDetector,
    GossipQueue,
    plan_distribution,
    select_probed_agents,
)
from plantainyoke.membership._zone_detector import SAMPLE_TIMEOUT_S  # noqa: E402
from plantainyoke.network import format_address, unpack_address  # noqa: E402
from plantainyoke.publication import HostEntry, HostList, parse_hosts  # noqa: E402
from plantainyoke.wire import (  # noqa: E402
    Condition,
    EnvelopeCodec,
    Forward,
    Gossip,
    MessageAuthenticator,
    Probe,
    ProbeAck,
    TargetState,
    Update,
)

SIZES = ((1_000, 400), (10_000, 4_000), (55_000, 22_000))  # targets, services
HOST_SIZES = (100, 1_000, 10_000)  # balancers
ZONES = [f"zone-{number}" for number in range(34)]
FIRST_AGENT = 0x0A000000
FIRST_SERVICE = 0xC6120000
PORT = 7000
ONE_ZONE_TARGETS = 1_620
MICROSECONDS = 1e6
MAX_SIMULATED_S = 120.0


def agent_address(number: int) -> int:
    return (FIRST_AGENT + number) << 16 | PORT


def make_services(targets: int, services: int, *, seed: int = 0) -> list[ServiceFile]:
    """Return services that have one target each and share the rest at random."""
    rng = random.Random(seed)
    numbers_by_service = [[number] for number in range(services)]
    for number in range(services, targets):
        numbers_by_service[rng.randrange(services)].append(number)
    return [
        ServiceFile.model_validate(
            {
                "service": f"service-{index}",
                "address": format_address(
                    unpack_address((FIRST_SERVICE + index) << 16 | 443)
                ),
                "slots": 4,
                "targets": [
                    {
                        "agent": format_address(unpack_address(agent_address(number))),
                        "zone": ZONES[number % len(ZONES)],
                    }
                    for number in target_numbers
                ],
            }
        )
        for index, target_numbers in enumerate(numbers_by_service)
    ]


def make_fleet_file(generation: int) -> FleetFile:
    return FleetFile.model_validate(
        {
            "generation": generation,
            "zones": dict.fromkeys(ZONES, "in"),
            "networks": ["10.0.0.0/8"],
        }
    )


def apply_documents(state: ConfigurationState, built) -> int:
    """Apply built documents; return the compressed bytes of the fetched ones."""
    index_document = built.index_document
    if state.index is not None:
        index_document = encode_delta(
            state.index,
            state.snapshot.digest,
            parse_index(built.index_document).unwrap(),
            compute_digest(built.index_document),
        )
        state.rebuild_index(index_document).unwrap()
    pending = state.check_index(built.index_document).unwrap()
    fetched = {
        digest: built.chunk_documents[digest] for digest in pending.missing_digests
    }
    state.apply(pending, fetched).unwrap()
    documents = [index_document, *fetched.values()]
    return sum(len(zlib.compress(document)) for document in documents)


def measure_configuration(targets: int, services: int) -> dict:
    files = make_services(targets, services)
    first = build_documents(make_fleet_file(1), files).unwrap()
    previous = parse_index(first.index_document).unwrap()
    changed = [files[0].model_copy(update={"slots": 5}), *files[1:]]
    second = build_documents(make_fleet_file(2), changed, previous=previous).unwrap()
    result = {
        "targets": targets,
        "services": services,
        "chunks": len(first.chunk_documents),
        "index_bytes": len(first.index_document),
        "largest_value_bytes": max(map(len, first.chunk_documents.values())),
        "documents_bytes": sum(map(len, first.chunk_documents.values())),
    }
    del files, changed
    for name, service_id in (("balancer", None), ("agent", 1)):
        result[f"{name}_kb"] = measure_state_memory(first, service_id)
        state = ConfigurationState(service_id)
        apply_documents(state, first)
        gc.collect()
        gc.freeze()  # processes do the same after start
        started = time.process_time()
        result[f"{name}_change_bytes"] = apply_documents(state, second)
        result[f"{name}_change_ms"] = round((time.process_time() - started) * 1e3, 2)
    return result


def measure_state_memory(built, service_id: int | None) -> float:
    """Return the memory of an applied configuration in KB."""
    gc.collect()
    tracemalloc.start()
    state = ConfigurationState(service_id)
    apply_documents(state, built)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return round(size / 1024, 1)


def make_hosts(balancers: int) -> HostList:
    return HostList(
        tuple(
            HostEntry(
                (0x0B000000 + number) << 16 | PORT,
                compute_zone_id(ZONES[number % len(ZONES)]),
                True,
                False,
            )
            for number in range(balancers)
        )
    )


def measure_membership(balancers: int) -> dict:
    hosts = make_hosts(balancers)
    local_entry = hosts.entries[0]
    agents = {
        agent_address(number): compute_zone_id(ZONES[number % len(ZONES)])
        for number in range(balancers * 11 // 2)
    }
    started = time.process_time()
    probed_agents = select_probed_agents(hosts, agents, local_entry.address)
    first_plan_ms = (time.process_time() - started) * 1e3
    started = time.process_time()
    select_probed_agents(hosts, agents, local_entry.address)
    next_plan_ms = (time.process_time() - started) * 1e3
    started = time.process_time()
    plan_distribution(
        hosts, address=local_entry.address, zone=local_entry.zone, is_balancer=True
    )
    distribution_plan_ms = (time.process_time() - started) * 1e3
    zone_hint_bytes = len(
        EnvelopeCodec(MessageAuthenticator([b"k" * 16])).encode_gossip(
            1, Gossip([], [local_entry.zone])
        )
    )
    spread_cpu_s = measure_best_s(
        lambda: simulate_event_gossip(balancers, ONE_ZONE_TARGETS), 3
    )
    messages, size = simulate_event_gossip(balancers, ONE_ZONE_TARGETS)
    return {
        "balancers": balancers,
        "targets": len(agents),
        "watched": len(probed_agents),
        "first_plan_ms": round(first_plan_ms, 2),
        "plan_watchers_ms": round(next_plan_ms, 2),
        "plan_distribution_ms": round(distribution_plan_ms, 2),
        "gossip_events": ONE_ZONE_TARGETS,
        "gossip_messages": messages,
        "gossip_bytes": size,
        "zone_hint_bytes": zone_hint_bytes,
        "gossip_us_per_event": round(spread_cpu_s / ONE_ZONE_TARGETS * MICROSECONDS, 2),
    }


def simulate_event_gossip(balancers: int, events: int) -> tuple[int, int]:
    """Return the messages and bytes that one balancer sends to gossip the events."""
    codec = EnvelopeCodec(MessageAuthenticator([b"k" * 16]))
    queue = GossipQueue()
    detector = FailureDetector(queue.add)
    for number in range(events):
        update = Update(agent_address(number), 1, Condition.SUSPECT)
        if detector.record_gossip(update, 100.0):
            queue.add(update)
    messages = size = 0
    while queue.pending:
        updates = queue.take_batch(balancers)
        size += len(codec.encode_gossip(1, Gossip(updates)))
        messages += 1
    return messages, size


def measure_zone_failure(balancers: int) -> dict:
    """Return the seconds until 99% of the balancers avoid a failed zone.

    Simulates gossip in memory at the interval of the balancers. The balancers that
    probe the zone detect the failure at time 0. ``single_s`` is the result if the
    agents of the zone are gossiped one by one, ``unit_s`` the result with zone hints: a
    balancer then avoids the zone once its sample of the zone's agents stays unanswered.
    """
    result = {"balancers": balancers, "events": ONE_ZONE_TARGETS}
    for name, has_zone_hints in (("single_s", False), ("unit_s", True)):
        rng = random.Random(1)
        avoided_at = simulate_zone_failure(
            balancers, ONE_ZONE_TARGETS, has_zone_hints, rng
        )
        result[name] = round(avoided_at, 1)
    return result


def simulate_zone_failure(
    balancers: int, events: int, has_zone_hints: bool, rng: random.Random
) -> float:
    """Return the simulated seconds until 99% of the balancers avoid the zone."""
    queues = [GossipQueue() for _ in range(balancers)]
    known_events: list[set[int]] = [set() for _ in range(balancers)]
    hinted_at: dict[int, float] = {}
    for number in range(events):
        prober = number % 10
        known_events[prober].add(number)
        queues[prober].add(Update(number, 1, Condition.SUSPECT))
        hinted_at[prober] = 0.0
    now = 0.0
    while now < MAX_SIMULATED_S:
        now += GOSSIP_INTERVAL_S
        for sender in range(balancers):
            for receiver in rng.sample(range(balancers), GOSSIP_FANOUT):
                if (
                    has_zone_hints
                    and now - hinted_at.get(sender, now) >= SAMPLE_TIMEOUT_S
                ):
                    hinted_at.setdefault(receiver, now)
                for update in queues[sender].take_batch(balancers):
                    if update.target not in known_events[receiver]:
                        known_events[receiver].add(update.target)
                        queues[receiver].add(update)
        if has_zone_hints:
            aware_count = sum(now - at >= SAMPLE_TIMEOUT_S for at in hinted_at.values())
        else:
            aware_count = sum(len(item) >= 0.99 * events for item in known_events)
        if aware_count >= 0.99 * balancers:
            return now
    return float("inf")


def measure_best_s(measurement, repeats: int) -> float:
    """Return the shortest processor time of repeated calls in seconds."""
    best = float("inf")
    for _ in range(repeats):
        started = time.process_time()
        measurement()
        best = min(best, time.process_time() - started)
    return best


def measure_messages() -> dict:
    """Return the size in bytes and the codec CPU microseconds per kind of datagram."""
    codec = EnvelopeCodec(MessageAuthenticator([b"k" * 16]))
    ack = ProbeAck(1, 2, TargetState.SERVING, 3, 4, 5, 6, 7, 8.0)
    payload = bytes(1200)
    forward = Forward(1 << 17, 2, 1 << 18, 0, [], payload)
    encoders = {
        "probe": lambda: codec.encode_probe(1, Probe(1, True)),
        "probe_ack": lambda: codec.encode_probe_ack(1, ack),
        "forward": lambda: codec.encode_forward(1, forward),
    }
    result = {}
    for name, encode in encoders.items():
        datagram = encode()
        result[name] = {
            "bytes": len(datagram),
            "encode_us": measure_call_us(encode),
            "decode_us": measure_call_us(functools.partial(codec.decode, datagram)),
        }
    return result


def measure_call_us(measurement, count: int = 2_000) -> float:
    """Return the CPU microseconds of one call."""
    seconds = measure_best_s(lambda: [measurement() for _ in range(count)], 5)
    return round(seconds / count * MICROSECONDS, 2)


def measure_records(count: int) -> dict:
    """Return the memory per finished idempotency record."""
    import asyncio

    from plantainyoke.agent import Answer

    async def fill() -> float:
        records = IdempotencyRecords(
            incarnation=1, capacity=count + 1, retention_s=300.0
        )

        async def run(request: Request) -> Answer:
            return Answer(200, [(b"content-length", b"60")], bytes(60))

        tracemalloc.start()
        for number in range(count):
            request = Request("POST", "/", [], b"", 1e12, key=f"{number:032x}")
            await records.run(request, run)
        gc.collect()
        size = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        return size

    size = asyncio.run(fill())
    return {"records": count, "bytes_each": round(size / count)}


def measure_hosts(balancers: int) -> dict:
    """Return the size, parse time and memory of a host list of balancers."""
    records = [
        {
            "address": format_address(unpack_address((0x0B000000 + n) << 16 | PORT)),
            "zone": ZONES[n % len(ZONES)],
            "role": "balancer",
        }
        for n in range(balancers)
    ]
    document = json.dumps(records).encode()
    parse_s = measure_best_s(lambda: parse_hosts(document), 3)
    tracemalloc.start()
    hosts = parse_hosts(document).unwrap()
    assert hosts.zone_by_address
    size = tracemalloc.get_traced_memory()[0] + len(document)
    tracemalloc.stop()
    return {
        "entries": balancers,
        "bytes": len(document),
        "compressed_bytes": len(zlib.compress(document)),
        "parse_ms": round(parse_s * 1e3, 2),
        "kb": round(size / 1024, 1),
    }


def measure_import_memory(module: str) -> float:
    """Return the peak resident memory in MB of this process after an import."""
    importlib.import_module(module)
    return round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1)


def run_in_new_process(measurement, arguments) -> dict:
    """Run a measurement in a new process and return its result."""
    context = multiprocessing.get_context("spawn")
    with context.Pool(1) as pool:
        return pool.apply(measurement, arguments)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path)
    options = parser.parse_args()
    result = {
        "configuration": [
            run_in_new_process(measure_configuration, size) for size in SIZES
        ],
        "membership": [
            run_in_new_process(measure_membership, (n,)) for n in HOST_SIZES
        ],
        "messages": run_in_new_process(measure_messages, ()),
        "hosts": run_in_new_process(measure_hosts, (HOST_SIZES[-1],)),
        "process_mb": {
            role: run_in_new_process(measure_import_memory, (f"plantainyoke.{role}",))
            for role in ("balancer", "agent")
        },
        "zone_failure": [
            run_in_new_process(measure_zone_failure, (n,)) for n in (50, 100, 200)
        ],
        "records": [
            run_in_new_process(measure_records, (n,)) for n in (1_000, 3_000, 9_000)
        ],
    }
    print(json.dumps(result, indent=1))
    if options.out is not None:
        options.out.write_text(json.dumps(result, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
