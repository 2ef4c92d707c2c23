"""Soak the packet path: ``python -m soak --seeds 1-50 --jobs 4``.

Prints a line for each seed and exits with 1 if an invariant was violated. Logs of
failed seeds are kept in the directory ``--keep``.
"""

import argparse
import asyncio
import shutil
import sys
import tempfile
from pathlib import Path

import uvloop

from plantainyoke.standins import reserve_network
from soak._cases import load_cases
from soak._run import SoakOptions, run_seed


def build_parser() -> argparse.ArgumentParser:
    """Return the command-line parser."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seeds", default="1-4", help="N, or FIRST-LAST")
    parser.add_argument(
        "--cases", action="store_true", help="run the seeds that once failed"
    )
    parser.add_argument(
        "--jobs", type=int, default=1, help="seeds that run at the same time"
    )
    parser.add_argument("--balancers", type=int, default=3)
    parser.add_argument("--agents", type=int, default=8)
    parser.add_argument("--series", type=int, default=2, help="number of fault series")
    parser.add_argument("--faults", type=int, default=7, help="faults in each series")
    parser.add_argument("--keep", type=Path, default=Path("soak-failures"))
    return parser


async def run_all(options: argparse.Namespace, seeds: list[int]) -> int:
    """Run seeds in concurrent jobs and return the number of failed seeds."""
    remaining = list(reversed(seeds))

    async def run_job() -> int:
        failed = 0
        while remaining:
            seed = remaining.pop()
            with reserve_network() as network_prefix:
                failed += await _run_one(options, seed, network_prefix)
        return failed

    return sum(await asyncio.gather(*(run_job() for _ in range(options.jobs))))


async def _run_one(options: argparse.Namespace, seed: int, network_prefix: str) -> bool:
    soak_options = SoakOptions(
        network_prefix,
        options.balancers,
        options.agents,
        options.series,
        options.faults,
    )
    with tempfile.TemporaryDirectory() as directory:
        result = await run_seed(seed, soak_options, Path(directory))
        if result.violations:
            shutil.copytree(directory, options.keep / str(seed), dirs_exist_ok=True)
    outcome = f"{len(result.violations)} broken" if result.violations else "kept"
    print(
        f"seed {seed}: {outcome}, {result.flows} flows, {result.answers} answers; "
        + ", ".join(result.faults),
        flush=True,
    )
    for violation in result.violations[:10]:
        print(
            f"  {violation.at_s:7.2f} s {violation.invariant.value}: "
            f"{violation.detail}",
            flush=True,
        )
    return bool(result.violations)


def parse_seeds(text: str) -> list[int]:
    """Return the seeds that ``N`` or ``FIRST-LAST`` denotes."""
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main() -> int:
    """Run the soak and return its exit code."""
    options = build_parser().parse_args()
    seeds = [case.seed for case in load_cases()] if options.cases else []
    seeds = seeds or parse_seeds(options.seeds)
    failed = uvloop.run(run_all(options, seeds))
    print(f"{len(seeds)} seeds, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
