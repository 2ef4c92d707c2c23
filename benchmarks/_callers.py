"""Load generator: one process that runs many caller sessions.

Usage: ``python -m benchmarks._callers ARGUMENTS.json``. ``bench_fleet`` starts it. It
sends requests until SIGTERM and then writes the outcome of every request and the cause
of every closed connection as JSON.
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


class LoadGenerator:
    """Runs the sessions of one process and records their results.

    Parameters
    ----------
    arguments : dict
        Content of the arguments file that ``bench_fleet`` writes.

    Attributes
    ----------
    requests : list
        ``[started, seconds, kind, outcome, key]`` for each request.
    ends : list
        ``[time, cause, agent]`` for each closed connection.
    events : int
        Events received by all watch sessions.
    watch_faults : int
        Events whose ID doesn't follow the previous ID of their session.
    wrong_answers : int
        Answers with status 200 and a wrong body.
    """

    def __init__(self, arguments: dict) -> None:
        self.arguments = arguments
        self.requests: list[list] = []
        self.ends: list[list] = []
        self.watch_faults = 0
        self.events = 0
        self.wrong_answers = 0
        self.stop_requested = asyncio.Event()
        key = arguments["routing_key"]
        self.codec = ConnectionIdCodec(
            [RoutingKey(key["rotation"], bytes.fromhex(key["secret"]))]
        )

    async def run(self) -> None:
        """Run all sessions until SIGTERM, then write the results."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop_requested.set)
        workloads = {
            "order": self.send_orders,
            "download": self.fetch_drawings,
            "watch": self.watch_events,
        }
        tasks = []
        for number, kind in enumerate(self.arguments["sessions"]):
            tasks.append(
                loop.create_task(self.run_session(number, kind, workloads[kind]))
            )
        await self.stop_requested.wait()
        _, pending = await asyncio.wait(tasks, timeout=FINISH_TIMEOUT_S)
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)
        self.write()

    async def run_session(self, number: int, kind: str, run_workload) -> None:
        """Open one session after a random delay and run its workload."""
        rng = random.Random(self.arguments["seed"] * 1000 + number)
        await asyncio.sleep(rng.random() * 1.5)
        address = parse_address(self.arguments["addresses"][kind])
        options = SessionOptions(self.arguments["server_name"], self.arguments["ca"])
        async with Session(
            address, options, rng=rng, on_connection_end=self.record_connection_end
        ) as session:
            await run_workload(session, number, rng)

    async def send_orders(
        self, session: Session, number: int, rng: random.Random
    ) -> None:
        """Send orders at exponentially distributed intervals."""
        count = 0
        while not self.stop_requested.is_set():
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

    async def fetch_drawings(self, session: Session, number: int, rng: random.Random):
        """Fetch drawings at exponentially distributed intervals."""
        letter = chr(ord("a") + number % 26)
        size = self.arguments["download_size"]
        while not self.stop_requested.is_set():
            answer = await self.record(
                "download",
                "",
                session.request("GET", f"/drawings/{size}/{letter}", timeout_s=10.0),
            )
            if answer is not None and answer.status == 200:
                self.wrong_answers += answer.body != letter.encode() * size
            await asyncio.sleep(rng.expovariate(1 / (4 * self.arguments["think_s"])))

    async def watch_events(
        self, session: Session, number: int, rng: random.Random
    ) -> None:
        """Watch events and count gaps and repetitions in their IDs."""
        last_id = None
        events = session.watch("/events")
        stopped = asyncio.create_task(self.stop_requested.wait())
        try:
            while not self.stop_requested.is_set():
                next_event = asyncio.create_task(anext(events))
                await asyncio.wait(
                    [next_event, stopped], return_when=asyncio.FIRST_COMPLETED
                )
                if not next_event.done():
                    next_event.cancel()
                    await asyncio.gather(next_event, return_exceptions=True)
                    return
                event_id = int(next_event.result().id)
                self.events += 1
                self.watch_faults += last_id is not None and event_id != last_id + 1
                last_id = event_id
        finally:
            stopped.cancel()

    async def record(self, kind: str, key: str, request):
        """Await one request, record its outcome and return its answer, if any."""
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

    def record_connection_end(self, connection, cause: str) -> None:
        """Record the agent of a closed connection and the cause."""
        target = self.codec.decode(connection.routing_token)
        agent = format_packed_address(target.agent) if target else ""
        self.ends.append([time.time(), cause, agent])

    def write(self) -> None:
        """Write the results as JSON."""
        record = {
            "requests": self.requests,
            "ends": self.ends,
            "events": self.events,
            "watch_faults": self.watch_faults,
            "wrong_answers": self.wrong_answers,
        }
        Path(self.arguments["result"]).write_text(json.dumps(record))


async def main(arguments: dict) -> None:
    """Run the sessions of this process."""
    await LoadGenerator(arguments).run()


if __name__ == "__main__":
    uvloop.run(main(json.loads(Path(sys.argv[1]).read_text())))
