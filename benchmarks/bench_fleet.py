"""Measures a fleet of real processes on loopback through failures.

Usage: ``python benchmarks/bench_fleet.py --deployment diop --seed 1``. Prints a
short table and writes JSON. The baselines run in the same way in the same run.
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
PHASE_GAP_S = 3.0  # requests of a phase end before the next one's failure begins
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
    deployment = DEPLOYMENTS[options.deployment]
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory)
        async with ProcessFleet(
            deployment, path, seed=options.seed, variant=variant
        ) as fleet:
            results = await start_callers(fleet, deployment, options)
            await asyncio.sleep(WARM_UP_S)
            phases = []
            for name in scenarios:
                phases.append(await run_phase(fleet, name))
                await asyncio.sleep(PHASE_GAP_S)
            await stop_callers(fleet, results)
            records = [json.loads(result.read_text()) for result in results]
            return summarize(fleet, records, phases)


async def start_callers(fleet, deployment: Deployment, options) -> list[Path]:
    orders = options.connections
    kinds = ["order"] * orders + ["download"] * (orders // 5) + ["watch"] * 8
    addresses = {
        "order": format_address(fleet.service_address(deployment.order_service)),
        "download": format_address(fleet.service_address(deployment.file_service)),
        "watch": format_address(fleet.service_address(deployment.order_service)),
    }
    results = []
    for number in range(CALLER_PROCESSES):
        result = fleet.directory / f"callers-{number}.result"
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
            "result": str(result),
        }
        await fleet.start_callers(f"callers-{number}", arguments)
        results.append(result)
    return results


async def stop_callers(fleet, results: list[Path]) -> None:
    await asyncio.gather(
        *(fleet.stop(f"callers-{number}") for number in range(len(results)))
    )


async def run_phase(fleet, name: str) -> dict:
    served = {key: item.served for key, item in fleet.upstreams.items()}
    overruns = count_overruns(fleet)
    started = time.time()
    extra = await SCENARIOS[name](fleet)
    ended = time.time()
    after = {key: item.served - served[key] for key, item in fleet.upstreams.items()}
    return {
        "name": name,
        "started": started,
        "ended": ended,
        "served": after,
        "extra": {"overruns": count_overruns(fleet) - overruns, **extra},
    }


def count_overruns(fleet) -> int:
    """Return the requests that arrived above what their upstream bore."""
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
    refused = {item[4] for item in requests if item[3] == "not_run" and item[4]}
    return {
        "total": {
            "requests": len(requests),
            "doubled_runs": sum(count > 1 for count in runs.values()),
            "false_not_run": len(refused & runs.keys()),
            "cut_answers": sum(record["wrong_answers"] for record in records),
            "events": sum(record["events"] for record in records),
            "watch_faults": sum(record["watch_faults"] for record in records),
            "overruns": count_overruns(fleet),
        },
        "phases": [
            summarize_phase(fleet, phase, requests, ends, zone_agents)
            for phase in phases
        ],
        "timeline": timeline(requests),
    }


def summarize_phase(fleet, phase: dict, requests, ends, zone_agents) -> dict:
    inside = [r for r in requests if phase["started"] <= r[0] < phase["ended"]]
    outcomes = Counter(request[3] for request in inside)
    histogram = HdrHistogram(1, 60_000, 3)
    for request in inside:
        histogram.record_value(max(1, round(request[1] * MILLISECONDS)))
    broken = [
        end
        for end in ends
        if phase["started"] <= end[0] < phase["ended"] and end[1] != "moved"
    ]
    moved = sum(phase["started"] <= e[0] < phase["ended"] for e in ends) - len(broken)
    return {
        "name": phase["name"],
        "requests": len(inside),
        "answered_share": round(outcomes["answered"] / max(1, len(inside)), 5),
        "worst_second": worst_window(inside),
        "outcomes": dict(outcomes),
        "broken_flows": len(broken),
        "broken_outside_zone": sum(end[2] not in zone_agents for end in broken),
        "moved_flows": moved,
        "imbalance": {
            service.name: imbalance(phase["served"], service.name)
            for service in fleet.plan.services
        },
        "p50_ms": histogram.get_value_at_percentile(50),
        "p99_ms": histogram.get_value_at_percentile(99),
        **phase["extra"],
    }


def imbalance(served: dict[str, int], service: str) -> float | None:
    counts = [n for name, n in served.items() if name.rpartition("-")[0] == service]
    mean = sum(counts) / len(counts)
    return round(max(counts) / mean, 3) if mean else None


def worst_window(requests: list) -> float:
    """Return the lowest share of answered requests among whole seconds."""
    windows: dict[int, Counter] = {}
    for started, _, _, outcome, _ in requests:
        window = windows.setdefault(int(started / WINDOW_S), Counter())
        window[outcome == "answered"] += 1
    shares = [window[True] / window.total() for window in windows.values()]
    return round(min(shares, default=0.0), 4)


def timeline(requests: list) -> list[list[float]]:
    """Return ``[second, answered, other]`` rows from the first request on."""
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


def plot(results: dict[str, dict], path: Path) -> None:
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
        chosen = scenarios
        if variant != "plantainyoke":
            chosen = [name for name in scenarios if name in BASELINE_SCENARIOS]
        if chosen:
            results[variant] = await run_variant(options, variant, chosen)
    return results


def main() -> int:
    options = build_parser().parse_args()
    results = uvloop.run(run_all(options))
    print_table(results)
    if options.out is not None:
        options.out.write_text(json.dumps(results, indent=1))
    if options.plot is not None:
        plot(results, options.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
