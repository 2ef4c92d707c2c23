"""Transcripts of whole sessions, as operators read them from logs and ``explain``."""

import asyncio
import logging

from plantainyoke.caller import CallerError
from plantainyoke.conftest import wait_until
from plantainyoke.standins import EmbeddedFleet, FleetPlan, ServicePlan, UpstreamOptions
from plantainyoke.telemetry import get_logger

RECORDED_EVENTS = {
    "agent_draining",
    "agent_stopped",
    "balancer_draining",
    "leaving",
    "request_not_answered",
    "returned",
    "zone_out_of_service",
}
FIELDS = ("outcome", "cause", "key", "requests_cut")


class Transcript(logging.Handler):
    """Collects the results of a session and its log events, without times and ports."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def __enter__(self) -> "Transcript":
        get_logger().addHandler(self)
        get_logger().setLevel("INFO")
        return self

    def __exit__(self, *details) -> None:
        get_logger().removeHandler(self)

    def emit(self, record: logging.LogRecord) -> None:
        if record.getMessage() not in RECORDED_EVENTS:
            return
        fields = [
            f"{name}={getattr(record, name)}"
            for name in FIELDS
            if getattr(record, name, None) is not None
        ]
        self.lines.append(" ".join(["log", record.getMessage(), *fields]))

    def add_line(self, *words) -> None:
        self.lines.append(" ".join(str(word) for word in words))

    async def request(self, session, method: str, path: str, **arguments) -> None:
        """Send a request and add its result."""
        try:
            answer = await session.request(method, path, **arguments)
        except CallerError as error:
            result = f"{type(error).__name__}: {error}"
        else:
            result = f"{answer.status} {len(answer.body)} bytes"
        self.add_line("caller", method, path, arguments.get("key", ""), "->", result)

    def add_explanation(self, fleet: EmbeddedFleet, key: str) -> None:
        """Add the agents' explanations of a key, without the random incarnation."""
        answers = [
            {name: value for name, value in answer.items() if name != "incarnation"}
            for answer in (a.explain({"key": key}) for a in fleet.list_agents("orders"))
            if answer["record"]
        ]
        self.add_line("explain", key, answers)

    def add_runs(self, fleet: EmbeddedFleet) -> None:
        """Add how often the upstreams ran each key."""
        runs = {}
        for upstream in fleet.list_upstreams("orders"):
            runs.update(upstream.runs)
        self.add_line("upstreams ran", dict(sorted(runs.items())))


def _plan(network_prefix: str, targets: int) -> FleetPlan:
    upstream = UpstreamOptions(warm_after=1)
    return FleetPlan(
        network_prefix,
        services=(
            ServicePlan("orders", targets, upstream),
            ServicePlan("drawings", 1, upstream),
        ),
    )


async def _find_connected_agent(fleet: EmbeddedFleet, session) -> str:
    """Return the name of the agent that a session is connected to."""
    incarnation = (await session.get_connection()).incarnation
    return next(
        name
        for name, member in fleet.members.items()
        if getattr(member.component, "incarnation", None) == incarnation
    )


class TestGoldenSessions:
    def test_orders_are_answered_while_an_agent_drains(
        self, run_async, network_prefix, tmp_path, snapshot
    ):
        async def scenario():
            async with EmbeddedFleet(_plan(network_prefix, 2), tmp_path) as fleet:
                with Transcript() as transcript:
                    async with fleet.open_session("orders") as session:
                        await transcript.request(session, "POST", "/orders", key="1")
                        stopping = asyncio.create_task(
                            fleet.stop(await _find_connected_agent(fleet, session))
                        )
                        await asyncio.sleep(0.3)
                        await transcript.request(session, "POST", "/orders", key="2")
                        await stopping
                        await transcript.request(session, "POST", "/orders", key="3")
                        counters = session.metrics.counters
                        transcript.add_line("moved", counters["connection.moved"])
                        transcript.add_line("lost", counters["connection.lost"])
                    for key in ("2", "3"):
                        transcript.add_explanation(fleet, key)
                    transcript.add_runs(fleet)
                return transcript.lines

        assert run_async(scenario()) == snapshot

    def test_download_continues_after_a_balancer_is_killed(
        self, run_async, network_prefix, tmp_path, snapshot
    ):
        async def scenario():
            async with EmbeddedFleet(_plan(network_prefix, 1), tmp_path) as fleet:
                with Transcript() as transcript:
                    async with fleet.open_session("drawings") as session:
                        fabric = fleet.fabrics["drawings"]
                        fabric.delay_s = 0.02
                        path = "/drawings/600000/t"
                        download = asyncio.create_task(
                            transcript.request(session, "GET", path, timeout_s=30.0)
                        )
                        await asyncio.sleep(0.2)
                        assert not download.done()
                        await fleet.kill("balancer-0")
                        transcript.add_line("balancer killed")
                        await asyncio.sleep(0.3)
                        fleet.set_rotation([1])
                        await download
                        opened = session.metrics.counters["connect.opened"]
                        transcript.add_line("connections opened", opened)
                return transcript.lines

        assert run_async(scenario()) == snapshot

    def test_refused_request_is_retried(
        self, run_async, network_prefix, tmp_path, snapshot
    ):
        async def scenario():
            async with EmbeddedFleet(_plan(network_prefix, 1), tmp_path) as fleet:
                with Transcript() as transcript:
                    async with fleet.open_session("orders") as session:
                        await session.get_connection()
                        upstream = fleet.upstreams["orders-0"]
                        upstream.refuse_share = 1.0

                        counters = session.metrics.counters

                        async def accept_after_a_retry(upstream, counters):
                            await wait_until(lambda: counters["retry.refused.shed"])
                            upstream.refuse_share = 0.0

                        async with asyncio.TaskGroup() as tasks:
                            tasks.create_task(accept_after_a_retry(upstream, counters))
                            await transcript.request(session, "POST", "/specs", key="s")
                        retried = counters["retry.refused.shed"]
                        transcript.add_line("retried", retried > 0)
                    transcript.add_explanation(fleet, "s")
                    transcript.add_runs(fleet)
                lines = transcript.lines
                return list(dict.fromkeys(lines))

        assert run_async(scenario()) == snapshot

    def test_upstream_killed_during_a_request_makes_its_outcome_unknown(
        self, run_async, network_prefix, tmp_path, snapshot
    ):
        async def scenario():
            async with EmbeddedFleet(_plan(network_prefix, 1), tmp_path) as fleet:
                with Transcript() as transcript:
                    async with fleet.open_session("orders") as session:
                        await session.get_connection()
                        fleet.upstreams["orders-0"].next_delay_s = 1.0
                        kill_timer = asyncio.get_running_loop().call_later(
                            0.3,
                            lambda: asyncio.ensure_future(
                                fleet.kill_upstream("orders-0")
                            ),
                        )
                        await transcript.request(session, "POST", "/orders", key="u")
                        kill_timer.cancel()
                    transcript.add_explanation(fleet, "u")
                    transcript.add_runs(fleet)
                return transcript.lines

        assert run_async(scenario()) == snapshot
