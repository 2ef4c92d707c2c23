"""Measure a fleet of processes on loopback during failures and planned changes.

Usage: ``python benchmarks/bench_fleet.py --deployment diop --seed 1``. Runs the
scenarios of ``benchmarks._scenarios`` under load. The baselines run in the same way in
the same run, but only ``BASELINE_SCENARIOS``. Prints a table of answered requests,
broken flows, balance and latency per scenario and writes JSON if ``--out`` is set.
"""

import argparse
import asyncio
import json
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import uvloop
from hdrh.histogram import HdrHistogram

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks._deployments import DEPLOYMENTS, Deployment  # noqa: E402
from benchmarks._process_fleet import ProcessFleet  # noqa: E402
from benchmarks._scenarios import SCENARIOS  # noqa: E402
from plantainyoke.network import format_address  # noqa: E402
from plantainyoke.standins._fleet import ROUTING_KEY, SERVER_NAME  # noqa: E402

CALLER_PROCESSES = 2
WARM_UP_S = 8.0
WINDOW_S = 1.0
PHASE_GAP_S = 3.0  # lets the requests of a phase end before the next failure
BASELINE_SCENARIOS = ("steady", "zone", "rolling-upstreams")
MILLISECONDS = 1000


def build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=DEPLOYMENTS, default="diop")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--connections", type=int, default=56)
    parser.add_argument("--think-ms", type=float, default=150.0)
    parser.add_argument("--scenarios", nargs="*", choices=SCENARIOS)
    parser.add_argument("--no-baselines", action="store_true")
    parser.add_argument("--out", type=Path, help="JSON results")
    parser.add_argument("--plot", type=Path, help="PNG timeline")
    return parser


async def run_variant(options, variant: str, scenarios: list[str]) -> dict:
    """Run scenarios one after the other on a new fleet and summarize them."""
    deployment = DEPLOYMENTS[options.deployment]
    with tempfile.TemporaryDirectory() as directory:
        directory_path = Path(directory)
        async with ProcessFleet(
            deployment, directory_path, seed=options.seed, variant=variant
        ) as fleet:
            result_paths = await start_callers(fleet, deployment, options)
            await asyncio.sleep(WARM_UP_S)
            phases = []
            for name in scenarios:
                phases.append(await run_phase(fleet, name))
                await asyncio.sleep(PHASE_GAP_S)
            await stop_callers(fleet, result_paths)
            records = [json.loads(path.read_text()) for path in result_paths]
            return summarize(fleet, records, phases)


async def start_callers(fleet, deployment: Deployment, options) -> list[Path]:
    """Start the load generators; return the paths of their result files."""
    order_sessions = options.connections
    kinds = (
        ["order"] * order_sessions
        + ["download"] * (order_sessions // 5)
        + ["watch"] * 8
    )
    addresses = {
        "order": format_address(fleet.service_address(deployment.order_service)),
        "download": format_address(fleet.service_address(deployment.file_service)),
        "watch": format_address(fleet.service_address(deployment.order_service)),
    }
    result_paths = []
    for number in range(CALLER_PROCESSES):
        result_path = fleet.directory / f"callers-{number}.result"
        arguments = {
            "name": f"c{number}",
            "seed": options.seed * 10 + number,
            "sessions": kinds[number::CALLER_PROCESSES],
            "addresses": addresses,
            "server_name": SERVER_NAME,
            "ca": str(fleet.certificate),
            "routing_key": ROUTING_KEY,
            "think_s": options.think_ms / MILLISECONDS,
            "download_size": 50_000,
            "result": str(result_path),
        }
        await fleet.start_callers(f"callers-{number}", arguments)
        result_paths.append(result_path)
    return result_paths


async def stop_callers(fleet, result_paths: list[Path]) -> None:
    await asyncio.gather(
        *(fleet.stop(f"callers-{number}") for number in range(len(result_paths)))
    )


async def run_phase(fleet, name: str) -> dict:
    """Run one scenario and record its time span and the upstreams' counters."""
    served = {key: item.served for key, item in fleet.upstreams.items()}
    overruns = count_overruns(fleet)
    started = time.time()
    measurements = await SCENARIOS[name](fleet)
    ended = time.time()
    served_in_phase = {
        key: item.served - served[key] for key, item in fleet.upstreams.items()
    }
    return {
        "name": name,
        "started": started,
        "ended": ended,
        "served": served_in_phase,
        "extra": {"overruns": count_overruns(fleet) - overruns, **measurements},
    }


def count_overruns(fleet) -> int:
    """Return the number of requests that exceeded the capacity of their upstream."""
    return sum(item.overruns for item in fleet.upstreams.values())


def summarize(fleet, records: list[dict], phases: list[dict]) -> dict:
    runs: Counter[str] = Counter()
    for upstream in fleet.upstreams.values():
        runs.update(upstream.runs)
    requests = sorted(item for record in records for item in record["requests"])
    ends = sorted(item for record in records for item in record["ends"])
    zone_agents = {
        target["agent"]
        for service in fleet.plan.services
        for target in fleet._service_file(service).model_dump()["targets"]
        if target["zone"] == fleet.plan.zones[1]
    }
    not_run_keys = {item[4] for item in requests if item[3] == "not_run" and item[4]}
    return {
        "total": {
            "requests": len(requests),
            "doubled_runs": sum(count > 1 for count in runs.values()),
            "false_not_run": len(not_run_keys & runs.keys()),
            "cut_answers": sum(record["wrong_answers"] for record in records),
            "events": sum(record["events"] for record in records),
            "watch_faults": sum(record["watch_faults"] for record in records),
            "overruns": count_overruns(fleet),
        },
        "phases": [
            summarize_phase(fleet, phase, requests, ends, zone_agents)
            for phase in phases
        ],
        "timeline": build_timeline(requests),
    }


def summarize_phase(fleet, phase: dict, requests, ends, zone_agents) -> dict:
    phase_requests = [r for r in requests if phase["started"] <= r[0] < phase["ended"]]
    outcomes = Counter(request[3] for request in phase_requests)
    histogram = HdrHistogram(1, 60_000, 3)
    for request in phase_requests:
        histogram.record_value(max(1, round(request[1] * MILLISECONDS)))
    broken_ends = [
        end
        for end in ends
        if phase["started"] <= end[0] < phase["ended"] and end[1] != "moved"
    ]
    moved_count = sum(phase["started"] <= e[0] < phase["ended"] for e in ends) - len(
        broken_ends
    )
    return {
        "name": phase["name"],
        "requests": len(phase_requests),
        "answered_share": round(outcomes["answered"] / max(1, len(phase_requests)), 5),
        "worst_second": compute_worst_window(phase_requests),
        "outcomes": dict(outcomes),
        "broken_flows": len(broken_ends),
        "broken_outside_zone": sum(end[2] not in zone_agents for end in broken_ends),
        "moved_flows": moved_count,
        "imbalance": {
            service.name: compute_imbalance(phase["served"], service.name)
            for service in fleet.plan.services
        },
        "p50_ms": histogram.get_value_at_percentile(50),
        "p99_ms": histogram.get_value_at_percentile(99),
        **phase["extra"],
    }


def compute_imbalance(served: dict[str, int], service: str) -> float | None:
    """Return the highest request count of a service's upstreams over their mean."""
    counts = [n for name, n in served.items() if name.rpartition("-")[0] == service]
    mean = sum(counts) / len(counts)
    return round(max(counts) / mean, 3) if mean else None


def compute_worst_window(requests: list) -> float:
    """Return the lowest share of answered requests in any one-second window."""
    windows: dict[int, Counter] = {}
    for started, _, _, outcome, _ in requests:
        window = windows.setdefault(int(started / WINDOW_S), Counter())
        window[outcome == "answered"] += 1
    shares = [window[True] / window.total() for window in windows.values()]
    return round(min(shares, default=0.0), 4)


def build_timeline(requests: list) -> list[list[float]]:
    """Return rows ``[second, answered, other]``, counted from the first request."""
    if not requests:
        return []
    origin = requests[0][0]
    rows: dict[int, list] = {}
    for started, _, _, outcome, _ in requests:
        second = int(started - origin)
        row = rows.setdefault(second, [second, 0, 0])
        row[1 if outcome == "answered" else 2] += 1
    return [rows[second] for second in sorted(rows)]


def print_table(results: dict[str, dict]) -> None:
    columns = ("answered", "worst s", "broken", "outside", "moved", "imbal", "p50/p99")
    print(f"{'variant / scenario':34}" + "".join(f"{name:>10}" for name in columns))
    for variant, result in results.items():
        for phase in result["phases"]:
            first_service = next(iter(phase["imbalance"].values()))
            latency = f"{phase['p50_ms']}/{phase['p99_ms']}"
            cells = (
                f"{phase['answered_share']:.4f}",
                f"{phase['worst_second']:.3f}",
                phase["broken_flows"],
                phase["broken_outside_zone"],
                phase["moved_flows"],
                first_service,
                latency,
            )
            label = f"{variant} / {phase['name']}"
            print(f"{label:34}" + "".join(f"{cell!s:>10}" for cell in cells))
        print(f"  total: {result['total']}")


def write_plot(results: dict[str, dict], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(len(results), 1, sharex=True, squeeze=False)
    for axis, (variant, result) in zip(axes[:, 0], results.items(), strict=True):
        seconds, answered, other = zip(*result["timeline"], strict=True)
        axis.plot(seconds, answered, label="answered")
        axis.plot(seconds, other, label="not answered")
        axis.set_ylabel(f"{variant}\nrequests/s")
    axes[0, 0].legend()
    axes[-1, 0].set_xlabel("seconds")
    figure.set_size_inches(10, 2.5 * len(results))
    figure.tight_layout()
    figure.savefig(path)


async def run_all(options) -> dict[str, dict]:
    scenarios = options.scenarios or list(SCENARIOS)
    results = {}
    variants = ["plantainyoke"]
    if not options.no_baselines:
        variants += DEPLOYMENTS[options.deployment].baselines
    for variant in variants:
        selected = scenarios
        if variant != "plantainyoke":
            selected = [name for name in scenarios if name in BASELINE_SCENARIOS]
        if selected:
            results[variant] = await run_variant(options, variant, selected)
    return results


def main() -> int:
    options = build_parser().parse_args()
    results = uvloop.run(run_all(options))
    print_table(results)
    if options.out is not None:
        options.out.write_text(json.dumps(results, indent=1))
    if options.plot is not None:
        write_plot(results, options.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
