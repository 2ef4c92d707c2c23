"""A process of callers; writes what became of every request.

Usage: ``python -m benchmarks._callers ARGUMENTS.json``. Runs until SIGTERM.
"""

import asyncio
import json
import random
import signal
import sys
import time
from pathlib import Path

import uvloop

from plantainyoke.caller import (
    CallerError,
    ConnectError,
    RefusedError,
    Session,
    SessionOptions,
)
from plantainyoke.network import (
    format_packed_address,
    parse_address,
)
from plantainyoke.routing import ConnectionIdCodec, RoutingKey

FINISH_TIMEOUT_S = 12.0
REQUEST_TIMEOUT_S = 10.0


class Callers:
    """Sessions of one process and the record of their requests.

    Attributes
    ----------
    requests : list
        ``[started, seconds, kind, outcome, key]`` for each request.
    ends : list
        ``[time, cause, agent]`` for each connection that ended.
    """

    def __init__(self, arguments: dict) -> None:
        self.arguments = arguments
        self.requests: list[list] = []
        self.ends: list[list] = []
        self.watch_faults = 0
        self.events = 0
        self.wrong_answers = 0
        self.stopping = asyncio.Event()
        key = arguments["routing_key"]
        self.codec = ConnectionIdCodec(
            [RoutingKey(key["rotation"], bytes.fromhex(key["secret"]))]
        )

    async def run(self) -> None:
        """Send requests until stopped, then write the record."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        kinds = {"order": self.order, "download": self.download, "watch": self.watch}
        tasks = []
        for number, kind in enumerate(self.arguments["sessions"]):
            tasks.append(loop.create_task(self.caller(number, kind, kinds[kind])))
        await self.stopping.wait()
        _, pending = await asyncio.wait(tasks, timeout=FINISH_TIMEOUT_S)
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)
        self.write()

    async def caller(self, number: int, kind: str, act) -> None:
        """Run one caller on a session."""
        rng = random.Random(self.arguments["seed"] * 1000 + number)
        await asyncio.sleep(rng.random() * 1.5)
        address = parse_address(self.arguments["addresses"][kind])
        options = SessionOptions(self.arguments["server_name"], self.arguments["ca"])
        async with Session(
            address, options, rng=rng, on_connection_end=self.note_end
        ) as session:
            await act(session, number, rng)

    async def order(self, session: Session, number: int, rng: random.Random) -> None:
        """Send orders with pauses."""
        count = 0
        while not self.stopping.is_set():
            count += 1
            key = f"{self.arguments['name']}-{number}-{count}"
            answer = await self.record(
                "order",
                key,
                session.request(
                    "POST",
                    "/orders",
                    body=key.encode(),
                    key=key,
                    timeout_s=REQUEST_TIMEOUT_S,
                ),
            )
            if answer is not None and answer.status == 200:
                self.wrong_answers += f'"echo": "{key}"'.encode() not in answer.body
            await asyncio.sleep(rng.expovariate(1 / self.arguments["think_s"]))

    async def download(self, session: Session, number: int, rng: random.Random):
        """Fetch drawings with pauses."""
        letter = chr(ord("a") + number % 26)
        size = self.arguments["download_size"]
        while not self.stopping.is_set():
            answer = await self.record(
                "download",
                "",
                session.request("GET", f"/drawings/{size}/{letter}", timeout_s=10.0),
            )
            if answer is not None and answer.status == 200:
                self.wrong_answers += answer.body != letter.encode() * size
            await asyncio.sleep(rng.expovariate(1 / (4 * self.arguments["think_s"])))

    async def watch(self, session: Session, number: int, rng: random.Random) -> None:
        """Count events that are missing or come twice."""
        last = None
        events = session.watch("/events")
        stopped = asyncio.create_task(self.stopping.wait())
        try:
            while not self.stopping.is_set():
                following = asyncio.create_task(anext(events))
                await asyncio.wait(
                    [following, stopped], return_when=asyncio.FIRST_COMPLETED
                )
                if not following.done():
                    following.cancel()
                    await asyncio.gather(following, return_exceptions=True)
                    return
                current = int(following.result().id)
                self.events += 1
                self.watch_faults += last is not None and current != last + 1
                last = current
        finally:
            stopped.cancel()

    async def record(self, kind: str, key: str, request):
        """Await one request and note its outcome."""
        started = time.time()
        answer = None
        try:
            answer = await request
            outcome = "answered" if answer.status < 500 else "failed"
        except (RefusedError, ConnectError):
            outcome = "not_run"
        except CallerError as error:
            outcome = str(error) or type(error).__name__
        self.requests.append([started, time.time() - started, kind, outcome, key])
        return answer

    def note_end(self, connection, cause: str) -> None:
        """Note which agent's connection ended, and why."""
        target = self.codec.decode(connection.routing_token)
        agent = format_packed_address(target.agent) if target else ""
        self.ends.append([time.time(), cause, agent])

    def write(self) -> None:
        """Write the record."""
        record = {
            "requests": self.requests,
            "ends": self.ends,
            "events": self.events,
            "watch_faults": self.watch_faults,
            "wrong_answers": self.wrong_answers,
        }
        Path(self.arguments["result"]).write_text(json.dumps(record))


async def main(arguments: dict) -> None:
    """Run the callers of one process."""
    await Callers(arguments).run()


if __name__ == "__main__":
    uvloop.run(main(json.loads(Path(sys.argv[1]).read_text())))
