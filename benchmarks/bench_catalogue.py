"""Measure the cost of the catalogue in one process for several fleet sizes.

Usage: ``python benchmarks/bench_catalogue.py [--output FILE]``. Measures the memory of
the catalogue, the encoded size of its snapshot and changes, the processor time to build
and apply a change of one target or some routes, and the time to choose the homes of a
flow.
"""

import argparse
import json
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path

import msgspec

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from plantainyoke.catalogue import (  # noqa: E402
    Catalogue,
    ChangeBuilder,
    Route,
    RouteConfiguration,
    RouteShare,
    ServiceLimits,
    StoreUpdate,
    Target,
)
from plantainyoke.catalogue._subscription import CatalogueFrame, encode_catalogue_frame  # noqa: E402
from plantainyoke.flows import choose_homes  # noqa: E402
from plantainyoke.hashing import compute_zone_id  # noqa: E402

RESULTS = ROOT / "benchmarks" / "results" / "catalogue.json"
SIZES = ((1_000, 400), (10_000, 4_000), (55_000, 22_000))  # targets, routes
ZONES = 34
CHANGED_ROUTES = 5  # per configuration
ROUNDS = 15


def build_configuration(version: int, routes: int) -> RouteConfiguration:
    """Return a configuration with one service for each route."""
    return RouteConfiguration(
        version,
        tuple(
            Route(f"r-{n}", 0xC6120000 + n, 443, (RouteShare(f"service-{n}", 1),), 0.25)
            for n in range(routes)
        ),
        {f"service-{n}": ServiceLimits(2000, 2.0, 0.0) for n in range(routes)},
    )


def build_targets(targets: int, routes: int) -> dict[str, Target]:
    """Return targets spread over services and zones."""
    return {
        f"i-{n:010x}": Target(
            f"i-{n:010x}",
            f"service-{n % routes}",
            0x0A000000 + n,
            8705,
            f"zone-{n % ZONES}",
            4,
            born_ms=1_790_000_000_000 + n,
        )
        for n in range(targets)
    }


def measure_median_ms(function: Callable[[int], None]) -> float:
    """Return the median processor time of ``ROUNDS`` calls in milliseconds."""
    times = []
    for number in range(ROUNDS):
        started = time.process_time()
        function(number)
        times.append((time.process_time() - started) * 1000)
    return round(statistics.median(times), 3)


def measure_updates(
    change_builder: ChangeBuilder, updates: list[StoreUpdate], *, now: float
) -> tuple[float, float, int]:
    """Build and apply the change of each update.

    Returns
    -------
    build_ms, apply_ms : float
        Median processor times.
    encoded_bytes : int
        Size of the first change on a link.
    """
    build_times, apply_times, sizes = [], [], []
    for update in updates:
        started = time.process_time()
        change = change_builder.build_change(update, now)
        built = time.process_time()
        change_builder.catalogue.apply(change, now)
        apply_times.append((time.process_time() - built) * 1000)
        build_times.append((built - started) * 1000)
        sizes.append(len(encode_catalogue_frame(CatalogueFrame(0, change))))
    return (
        round(statistics.median(build_times), 3),
        round(statistics.median(apply_times), 3),
        sizes[0],
    )


def measure(targets: int, routes: int) -> dict[str, float]:
    """Return the results for one fleet size."""
    configuration = build_configuration(1, routes)
    targets_by_name = build_targets(targets, routes)
    initial_change = ChangeBuilder(Catalogue()).build_change(
        StoreUpdate(1, True, configuration, targets_by_name), 0.0
    )
    tracemalloc.start()
    catalogue = Catalogue()
    catalogue.apply(initial_change, 0.0)
    catalogue_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    change_builder = ChangeBuilder(catalogue)
    updates = []
    for number, target in enumerate(list(targets_by_name.values())[:ROUNDS]):
        draining = msgspec.structs.replace(target, draining=True)
        updates.append(StoreUpdate(2 + number, False, None, {target.name: draining}))
    target_read_ms, target_apply_ms, target_bytes = measure_updates(
        change_builder, updates, now=1.0
    )
    updates = []
    for number in range(ROUNDS):
        changed_routes = [
            msgspec.structs.replace(route, aim_s=1.0 + number)
            for route in configuration.routes[:CHANGED_ROUTES]
        ]
        unchanged_routes = configuration.routes[CHANGED_ROUTES:]
        new_configuration = msgspec.structs.replace(
            configuration,
            version=2 + number,
            routes=(*changed_routes, *unchanged_routes),
        )
        updates.append(StoreUpdate(100 + number, False, new_configuration))
    routes_read_ms, routes_apply_ms, routes_bytes = measure_updates(
        change_builder, updates, now=2.0
    )
    zone = compute_zone_id("zone-1")
    flows = [number.to_bytes(12, "big") for number in range(1000)]

    def choose_all_homes(number: int) -> None:
        for flow in flows:
            choose_homes(flow, zone, catalogue.rings_by_zone)

    return {
        "targets": targets,
        "routes": routes,
        "catalogue_mb": round(catalogue_bytes / 1e6, 2),
        "snapshot_kb": round(
            len(encode_catalogue_frame(CatalogueFrame(0, catalogue.snapshot(0.0))))
            / 1000
        ),
        "target_read_ms": target_read_ms,
        "target_apply_ms": target_apply_ms,
        "target_bytes": target_bytes,
        "routes_read_ms": routes_read_ms,
        "routes_apply_ms": routes_apply_ms,
        "routes_bytes": routes_bytes,
        "homes_us": round(measure_median_ms(choose_all_homes), 2),
    }


def main() -> None:
    """Run the benchmark and write its result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", type=Path, default=RESULTS)
    options = parser.parse_args()
    results = [measure(targets, routes) for targets, routes in SIZES]
    options.output.write_text(json.dumps(results, indent=2) + "\n")
    print(json.dumps(results, indent=2))


if __name__ == "__main__":
    main()
