"""Record of a case, and the exit code of its script."""

import asyncio
import os
import signal
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
TIME_LIMIT_S = 115.0


class Record:
    """Writes what was sent, answered and run, with the time since the start.

    Attributes
    ----------
    violations : list of str
        Observations that break the rule.
    """

    def __init__(self, path: Path) -> None:
        self.started_at = time.monotonic()
        self.file = path.open("w", encoding="utf-8")
        self.violations: list[str] = []

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.started_at

    def write(self, event: str, **fields: object) -> None:
        """Write one line."""
        pairs = "".join(f" {key}={value}" for key, value in fields.items())
        self.file.write(f"{self.now:9.3f} {event}{pairs}\n")
        self.file.flush()

    def violate(self, text: str) -> None:
        """Write an observation that breaks the rule."""
        self.violations.append(text)
        self.write("RULE BROKEN:", what=text)


def is_troubled() -> bool:
    """Return whether the disruption is to be played (``TROUBLE`` is not 0)."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(script: str, play: Callable[[Record, bool], Awaitable[None]]) -> None:
    """Play a case, write its record and exit with its result.

    Parameters
    ----------
    script : str
        Path of the case's script; the record is written beside it.
    play : callable
        Coroutine function, called with the record and whether the disruption is to
        be played.
    """
    record = Record(Path(script).with_name("record.txt"))
    record.write("case", trouble=int(is_troubled()))
    code = CANNOT_RUN
    try:
        asyncio.run(_limit(play(record, is_troubled())))
        code = BROKEN if record.violations else HELD
    # Whatever it is, the case could not be played to its end.
    except (Exception, asyncio.CancelledError):
        record.write("cannot run", error=traceback.format_exc())
        traceback.print_exc()
    name = {HELD: "rule held", BROKEN: "rule broken", CANNOT_RUN: "could not run"}[code]
    record.write("result", code=code, meaning=f'"{name}"')
    print(f"{name} ({len(record.violations)} observations)")
    for text in record.violations[:5]:
        print(" ", text)
    sys.exit(code)


async def _limit(play: Awaitable[None]) -> None:
    """Play a case within the time limit; SIGTERM ends it and its processes."""
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(TIME_LIMIT_S):
        await play
