"""Guarantees of the QUIC path during failures of processes, upstreams and network."""

import asyncio
import time
from collections import Counter

import pytest

from plantainyoke.caller import (
    AnswerCutError,
    CallerError,
    OutcomeUnknownError,
    RefusedError,
)
from plantainyoke.standins import EmbeddedFleet, FleetPlan, ServicePlan, UpstreamOptions

SILENT_PATH_LIMIT_S = 5.0  # a session moves off a silent path within this
SLOW_ANSWER_S = 0.6
PAUSE_S = 2.5
OFFERED_REQUESTS = 640


def _plan(network_prefix: str, *, targets: int = 3, **options) -> FleetPlan:
    upstream = UpstreamOptions(**{"warm_after": 1, **options})
    services = (
        ServicePlan("orders", targets, upstream),
        ServicePlan("drawings", 2, upstream),
    )
    return FleetPlan(network_prefix, services=services)


def _count_runs(fleet: EmbeddedFleet, service: str = "orders") -> Counter:
    """Return how often the upstreams of a service ran each idempotency key."""
    runs: Counter = Counter()
    for upstream in fleet.list_upstreams(service):
        runs.update(upstream.runs)
    return runs


async def _find_connected_agent(fleet: EmbeddedFleet, session) -> str:
    """Return the name of the agent that a session is connected to."""
    connection = await session.get_connection()
    for name, member in fleet.members.items():
        component = member.component
        if getattr(component, "incarnation", None) == connection.incarnation:
            return name
    raise AssertionError("no agent has the incarnation of the connection")


async def _classify_outcome(request) -> str:
    """Return the outcome that a request reports to its caller."""
    try:
        await request
    except RefusedError:
        return "not_run"
    except OutcomeUnknownError:
        return "unknown"
    return "answered"


class TestAtMostOnce:
    @pytest.mark.parametrize(
        "kill_delay_s", [0.0, SLOW_ANSWER_S / 2, SLOW_ANSWER_S * 1.5]
    )
    def test_request_runs_at_most_once_if_its_agent_is_killed(
        self, run_async, network_prefix, tmp_path, kill_delay_s
    ):
        async def scenario():
            async with EmbeddedFleet(_plan(network_prefix), tmp_path) as fleet:
                async with fleet.open_session("orders") as session:
                    name = await _find_connected_agent(fleet, session)
                    fleet.upstreams[name].next_delay_s = SLOW_ANSWER_S
                    task = asyncio.create_task(
                        _classify_outcome(
                            session.request("POST", "/orders", key="a", timeout_s=6.0)
                        )
                    )
                    await asyncio.sleep(kill_delay_s)
                    await fleet.kill(name)
                    outcome = await task
                    runs = _count_runs(fleet)
                    assert runs["a"] <= 1
                    if outcome == "answered":
                        assert runs["a"] == 1
                    if outcome == "not_run":
                        assert runs["a"] == 0
                    if kill_delay_s > SLOW_ANSWER_S:
                        assert outcome == "answered"

        run_async(scenario())

    def test_request_in_flight_on_a_silent_path_is_resumed(
        self, run_async, network_prefix, tmp_path
    ):
        async def scenario():
            async with EmbeddedFleet(_plan(network_prefix), tmp_path) as fleet:
                loop = asyncio.get_running_loop()
                async with fleet.open_session("orders") as session:
                    name = await _find_connected_agent(fleet, session)
                    fleet.upstreams[name].next_delay_s = SLOW_ANSWER_S
                    task = asyncio.create_task(
                        session.request("POST", "/orders", key="a", timeout_s=20.0)
                    )
                    await asyncio.sleep(SLOW_ANSWER_S / 3)
                    fabric = fleet.fabrics["orders"]
                    fabric.silenced.update(fabric.sockets)
                    silenced_at = loop.time()
                    answer = await task
                    assert answer.status == 200
                    assert loop.time() - silenced_at <= SILENT_PATH_LIMIT_S
                    assert session.metrics.counters["request.resumed"] >= 1
                assert _count_runs(fleet) == {"a": 1}

        run_async(scenario())

    def test_watch_on_a_silent_path_moves_without_missing_events(
        self, run_async, network_prefix, tmp_path
    ):
        async def scenario():
            async with EmbeddedFleet(_plan(network_prefix), tmp_path) as fleet:
                loop = asyncio.get_running_loop()
                async with fleet.open_session("orders") as session:
                    events = session.watch("/events")
                    seen = [int((await anext(events)).id) for _ in range(3)]
                    fabric = fleet.fabrics["orders"]
                    fabric.silenced.update(fabric.sockets)
                    silenced_at = loop.time()
                    # Events that arrived before the silence are read first.
                    while len(seen) < 20 or loop.time() - silenced_at < 1.0:
                        seen.append(int((await anext(events)).id))
                    assert loop.time() - silenced_at <= SILENT_PATH_LIMIT_S
                    assert seen == list(range(seen[0], seen[0] + len(seen)))
                    await events.aclose()

        run_async(scenario())

    def test_request_lost_on_a_silent_path_runs_once(
        self, run_async, network_prefix, tmp_path
    ):
        async def scenario():
            async with EmbeddedFleet(_plan(network_prefix), tmp_path) as fleet:
                async with fleet.open_session("orders") as session:
                    await session.get_connection()
                    fabric = fleet.fabrics["orders"]
                    fabric.silenced.update(fabric.sockets)
                    await session.request("POST", "/orders", key="a", timeout_s=20.0)
                assert _count_runs(fleet) == {"a": 1}

        run_async(scenario())

    def test_late_packets_of_a_fenced_connection_run_no_request(
        self, run_async, network_prefix, tmp_path
    ):
        """The first packets of a request arrive after its repetition has run."""

        async def scenario():
            async with EmbeddedFleet(_plan(network_prefix), tmp_path) as fleet:
                fabric = fleet.fabrics["orders"]
                async with fleet.open_session("orders") as session:
                    await session.request("POST", "/orders", key="first")
                    held = _hold_datagrams(fabric)
                    answer = await session.request(
                        "POST", "/orders", key="a", timeout_s=20.0
                    )
                    assert answer.status == 200
                    assert held.datagrams
                    held.release()
                    await asyncio.sleep(0.5)
                assert _count_runs(fleet)["a"] == 1

        run_async(scenario())

    def test_relayed_request_runs_once_if_its_link_closes(
        self, run_async, network_prefix, tmp_path
    ):
        async def scenario():
            plan = _plan(network_prefix, targets=2)
            async with EmbeddedFleet(plan, tmp_path) as fleet:
                async with fleet.open_session("orders") as session:
                    name = await _find_connected_agent(fleet, session)
                    agent = fleet.members[name].component
                    other = next(n for n in ("orders-0", "orders-1") if n != name)
                    # An agent whose upstream drains relays requests to its sibling.
                    fleet.upstreams[name].start_draining()
                    agent.upstream.is_draining = True
                    await asyncio.sleep(0.6)
                    fleet.upstreams[other].next_delay_s = SLOW_ANSWER_S
                    connection = session.current_connection
                    connection.goaway_received.clear()
                    task = asyncio.create_task(
                        session.request("POST", "/orders", key="a", timeout_s=10.0)
                    )
                    await asyncio.sleep(SLOW_ANSWER_S / 2)
                    for link in agent.node.links.links.values():
                        link.close()
                    answer = await task
                    assert answer.status == 200
                assert _count_runs(fleet) == {"a": 1}

        run_async(scenario())

    def test_same_key_on_concurrent_connections_runs_once(
        self, run_async, network_prefix, tmp_path
    ):
        async def scenario():
            plan = _plan(network_prefix, targets=1)
            async with EmbeddedFleet(plan, tmp_path) as fleet:
                sessions = [fleet.open_session("orders", seed=i) for i in range(3)]
                answers = await asyncio.gather(
                    *(item.request("POST", "/orders", key="a") for item in sessions)
                )
                assert {answer.status for answer in answers} == {200}
                assert _count_runs(fleet) == {"a": 1}
                for session in sessions:
                    await session.aclose()

        run_async(scenario())


class TestNotRun:
    def test_refused_requests_did_not_run_and_retries_stay_in_budget(
        self, run_async, network_prefix, tmp_path
    ):
        """Half of the upstreams refuse every request."""

        async def scenario():
            plan = _plan(network_prefix, targets=4)
            async with EmbeddedFleet(plan, tmp_path) as fleet:
                upstreams = fleet.list_upstreams("orders")
                for upstream in upstreams[:2]:
                    upstream.refuse_share = 1.0
                sessions = [fleet.open_session("orders", seed=i) for i in range(8)]
                refused = set()

                async def send(number, session):
                    for count in range(OFFERED_REQUESTS // 8):
                        key = f"{number}-{count}"
                        try:
                            await session.request("POST", "/orders", key=key)
                        except RefusedError:
                            refused.add(key)

                await asyncio.gather(*(send(*item) for item in enumerate(sessions)))
                runs = _count_runs(fleet)
                assert not refused & runs.keys()
                assert max(runs.values()) == 1
                attempts = sum(item.shed for item in upstreams) + runs.total()
                assert attempts <= 1.1 * OFFERED_REQUESTS
                assert len(runs) >= 0.95 * OFFERED_REQUESTS
                for session in sessions:
                    await session.aclose()

        run_async(scenario())

    def test_requests_run_once_if_the_upstream_is_unreachable(
        self, run_async, network_prefix, tmp_path
    ):
        async def scenario():
            async with EmbeddedFleet(_plan(network_prefix), tmp_path) as fleet:
                async with fleet.open_session("orders") as session:
                    name = await _find_connected_agent(fleet, session)
                    await fleet.kill_upstream(name)
                    for number in range(10):
                        await session.request("POST", "/orders", key=f"{number}")
                    assert session.metrics.counters["connect.opened"] <= 2
                runs = _count_runs(fleet)
                assert len(runs) == 10
                assert max(runs.values()) == 1

        run_async(scenario())

    def test_expired_request_is_never_started(
        self, run_async, network_prefix, tmp_path
    ):
        async def scenario():
            plan = _plan(network_prefix, targets=1, slots=1)
            async with EmbeddedFleet(plan, tmp_path) as fleet:
                upstream = fleet.upstreams["orders-0"]
                async with fleet.open_session("orders") as session:
                    upstream.next_delay_s = 1.0
                    slow = asyncio.create_task(
                        session.request("POST", "/orders", key="slow")
                    )
                    await asyncio.sleep(0.2)
                    with pytest.raises(CallerError):
                        await session.request(
                            "POST", "/orders", key="late", timeout_s=0.3
                        )
                    await slow
                    await asyncio.sleep(0.5)
                assert upstream.runs == {"slow": 1}
                assert 0 < upstream.deadlines[0] <= 10_000

        run_async(scenario())

    def test_request_that_expired_during_a_pause_is_never_started(
        self, run_async, network_prefix, tmp_path
    ):
        """The process pauses while the request waits in its socket."""

        async def scenario():
            plan = _plan(network_prefix, targets=1)
            async with EmbeddedFleet(plan, tmp_path) as fleet:
                async with fleet.open_session("orders") as session:
                    await session.request("POST", "/orders", key="before")
                    fleet.fabrics["orders"].delay_s = 0.05
                    late = asyncio.create_task(
                        _classify_outcome(
                            session.request(
                                "POST", "/orders", key="late", timeout_s=1.0
                            )
                        )
                    )
                    await asyncio.sleep(0.01)
                    time.sleep(PAUSE_S)
                    assert await late != "answered"
                    await asyncio.sleep(1.0)
                    await session.request("POST", "/orders", key="after")
                assert _count_runs(fleet) == {"before": 1, "after": 1}

        run_async(scenario())

    def test_cancellation_reaches_the_upstream(
        self, run_async, network_prefix, tmp_path
    ):
        async def scenario():
            plan = _plan(network_prefix, targets=1)
            async with EmbeddedFleet(plan, tmp_path) as fleet:
                upstream = fleet.upstreams["orders-0"]
                async with fleet.open_session("orders") as session:
                    await session.get_connection()
                    upstream.next_delay_s = 5.0
                    task = asyncio.create_task(session.request("GET", "/status"))
                    await asyncio.sleep(0.3)
                    task.cancel()
                    await asyncio.gather(task, return_exceptions=True)
                    await asyncio.sleep(0.3)
                assert upstream.cancelled == 1
                assert upstream.in_flight == 0

        run_async(scenario())


class TestAnswerIntegrity:
    def test_truncated_answer_raises_an_error(
        self, run_async, network_prefix, tmp_path
    ):
        """An answer that ends early must not pass for a complete one."""

        async def scenario():
            async with EmbeddedFleet(_plan(network_prefix), tmp_path) as fleet:
                for upstream in fleet.list_upstreams("drawings"):
                    upstream.truncate_next_count = 100
                async with fleet.open_session("drawings") as session:
                    with pytest.raises(AnswerCutError):
                        await session.request("GET", "/drawings/500000/x")
                for upstream in fleet.list_upstreams("drawings"):
                    upstream.truncate_next_count = 0
                async with fleet.open_session("drawings") as session:
                    answer = await session.request("GET", "/drawings/500000/x")
                assert answer.body == b"x" * 500_000

        run_async(scenario())

    def test_interleaved_answers_are_matched_to_their_requests(
        self, run_async, network_prefix, tmp_path
    ):
        async def scenario():
            async with EmbeddedFleet(_plan(network_prefix), tmp_path) as fleet:
                fabric = fleet.fabrics["drawings"]
                fabric.loss, fabric.jitter_s = 0.02, 0.02
                async with fleet.open_session("drawings") as session:
                    letters = "abcdefgh"
                    answers = await asyncio.gather(
                        *(
                            session.request(
                                "GET", f"/drawings/40000/{letter}", timeout_s=30.0
                            )
                            for letter in letters
                        )
                    )
                for letter, answer in zip(letters, answers, strict=True):
                    assert answer.body == letter.encode() * 40_000

        run_async(scenario())


class TestColdStart:
    def test_all_upstreams_cold_at_once_serve_without_overruns(
        self, run_async, network_prefix, tmp_path
    ):
        async def scenario():
            plan = _plan(network_prefix, targets=3, warm_after=10)
            async with EmbeddedFleet(plan, tmp_path) as fleet:
                sessions = [fleet.open_session("orders", seed=i) for i in range(9)]
                await asyncio.gather(
                    *(
                        session.request("POST", "/orders", key=f"{i}-{n}")
                        for n in range(6)
                        for i, session in enumerate(sessions)
                    )
                )
                upstreams = fleet.list_upstreams("orders")
                assert sum(item.served for item in upstreams) == 54
                assert [item.overruns for item in upstreams] == [0, 0, 0]
                for session in sessions:
                    await session.aclose()

        run_async(scenario())

    def test_unannounced_cold_start_overruns_only_by_requests_in_flight(
        self, run_async, network_prefix, tmp_path
    ):
        """A warm upstream turns cold while many callers send requests."""

        async def scenario():
            plan = _plan(network_prefix, targets=2, warm_after=10, service_time_s=0.02)
            async with EmbeddedFleet(plan, tmp_path) as fleet:
                sessions = [fleet.open_session("orders", seed=i) for i in range(8)]

                async def send(number, session, rounds):
                    for count in range(rounds):
                        await session.request(
                            "POST", "/orders", key=f"{number}-{rounds}-{count}"
                        )

                await asyncio.gather(*(send(i, s, 30) for i, s in enumerate(sessions)))
                upstream = fleet.upstreams["orders-0"]
                assert upstream.overruns == 0
                upstream.reset_to_cold()
                await asyncio.gather(*(send(i, s, 31) for i, s in enumerate(sessions)))
                # Requests sent before the first cold answer cannot be held back.
                assert upstream.overruns <= upstream.options.slots
                for session in sessions:
                    await session.aclose()

        run_async(scenario())

    def test_false_health_reports_cause_no_overruns(
        self, run_async, network_prefix, tmp_path
    ):
        """The upstreams' health endpoints report no problem while they are cold."""

        async def scenario():
            plan = _plan(
                network_prefix, targets=2, warm_after=10, has_false_health=True
            )
            async with EmbeddedFleet(plan, tmp_path) as fleet:
                sessions = [fleet.open_session("orders", seed=i) for i in range(6)]
                await asyncio.gather(
                    *(
                        session.request("POST", "/orders", key=f"{i}-{n}")
                        for n in range(5)
                        for i, session in enumerate(sessions)
                    )
                )
                assert not any(item.overruns for item in fleet.upstreams.values())
                for session in sessions:
                    await session.aclose()

        run_async(scenario())


class TestLeaving:
    def test_stopping_agent_loses_no_request_or_event(
        self, run_async, network_prefix, tmp_path
    ):
        async def scenario():
            async with EmbeddedFleet(_plan(network_prefix), tmp_path) as fleet:
                async with fleet.open_session("orders") as session:
                    seen: list[int] = []

                    async def watch():
                        async for event in session.watch("/events"):
                            seen.append(int(event.id))

                    watching = asyncio.create_task(watch())
                    name = await _find_connected_agent(fleet, session)
                    fleet.upstreams[name].next_delay_s = SLOW_ANSWER_S
                    in_flight = asyncio.create_task(
                        session.request("POST", "/orders", key="in-flight")
                    )
                    await asyncio.sleep(SLOW_ANSWER_S / 2)
                    stopping = asyncio.create_task(fleet.stop(name))
                    assert (await in_flight).status == 200
                    for number in range(10):
                        await session.request("POST", "/orders", key=f"{number}")
                    await stopping
                    await asyncio.sleep(0.5)
                    watching.cancel()
                    assert len(seen) > 5
                    assert seen == list(range(seen[0], seen[0] + len(seen)))
                    assert session.metrics.counters["connection.moved"] >= 1
                    assert session.metrics.counters["connection.lost"] == 0
                runs = _count_runs(fleet)
                assert len(runs) == 11
                assert max(runs.values()) == 1

        run_async(scenario())

    def test_draining_upstream_receives_no_new_requests(
        self, run_async, network_prefix, tmp_path
    ):
        async def scenario():
            async with EmbeddedFleet(_plan(network_prefix), tmp_path) as fleet:
                sessions = [fleet.open_session("orders", seed=i) for i in range(6)]
                for number, session in enumerate(sessions):
                    await session.request("POST", "/orders", key=f"before-{number}")
                leaving = fleet.upstreams["orders-0"]
                leaving.start_draining()
                for count in range(12):
                    for number, session in enumerate(sessions):
                        await session.request(
                            "POST", "/orders", key=f"{count}-{number}"
                        )
                    await asyncio.sleep(0.35)
                assert leaving.work_after_drain == 0
                assert len(_count_runs(fleet)) == 13 * 6
                for session in sessions:
                    await session.aclose()

        run_async(scenario())

    def test_every_request_is_answered_while_half_of_the_fleet_stops(
        self, run_async, network_prefix, tmp_path
    ):
        async def scenario():
            plan = _plan(network_prefix, targets=4)
            async with EmbeddedFleet(plan, tmp_path) as fleet:
                sessions = [fleet.open_session("orders", seed=i) for i in range(6)]
                outcomes: Counter = Counter()
                stopped = asyncio.Event()

                async def send(number, session):
                    count = 0
                    while not stopped.is_set():
                        count += 1
                        request = session.request(
                            "POST", "/orders", key=f"{number}-{count}"
                        )
                        outcomes[await _classify_outcome(request)] += 1
                        await asyncio.sleep(0.02)

                tasks = [
                    asyncio.create_task(send(*item)) for item in enumerate(sessions)
                ]
                await asyncio.sleep(0.5)
                fleet.set_rotation([1])
                await asyncio.gather(
                    fleet.stop("orders-0"),
                    fleet.stop("orders-1"),
                    fleet.stop("balancer-0"),
                )
                await asyncio.sleep(0.5)
                stopped.set()
                await asyncio.gather(*tasks)
                assert set(outcomes) == {"answered"}
                assert len(_count_runs(fleet)) == outcomes["answered"]
                for session in sessions:
                    await session.aclose()

        run_async(scenario())


class TestDeadTargets:
    def test_dead_agent_is_no_candidate_after_two_seconds(
        self, run_async, network_prefix, tmp_path
    ):
        async def scenario():
            async with EmbeddedFleet(_plan(network_prefix), tmp_path) as fleet:
                await asyncio.sleep(1.0)
                dead = fleet.members["orders-0"].component.node.address
                await fleet.kill("orders-0")
                await asyncio.sleep(2.0)
                for balancer in fleet.list_balancers():
                    service = balancer.node.snapshot.services[
                        fleet.list_agents("orders")[0].service_id
                    ]
                    now = asyncio.get_running_loop().time()
                    for number in range(200):
                        key = number.to_bytes(8, "big")
                        assert dead not in balancer.steering.select_candidates(
                            key, service, now
                        )

        run_async(scenario())

    def test_both_sides_of_a_partition_serve_and_recover(
        self, run_async, network_prefix, tmp_path
    ):
        async def scenario():
            plan = FleetPlan(
                network_prefix,
                zones=("west", "east"),
                balancers=2,
                services=(ServicePlan("orders", 4, UpstreamOptions(warm_after=1)),),
            )
            async with EmbeddedFleet(plan, tmp_path) as fleet:
                nodes = [member.component.node for member in fleet.members.values()]
                originals = [node.is_peer_allowed for node in nodes]
                for node in nodes:
                    _cut_off_other_zones(node)
                await asyncio.sleep(3.0)
                for side in (0, 1):
                    fleet.set_rotation([side])
                    for number in range(4):
                        async with fleet.open_session("orders", seed=number) as session:
                            await session.request(
                                "POST", "/orders", key=f"{side}-{number}"
                            )
                for node, original in zip(nodes, originals, strict=True):
                    node.send = type(node).send.__get__(node)
                    node.links.is_peer_allowed = original
                generation = fleet.publish()
                await fleet.wait_for_generation(generation)
                async with asyncio.timeout(5.0):
                    while any(
                        balancer.detector.list_suspects()
                        for balancer in fleet.list_balancers()
                    ):
                        await asyncio.sleep(0.1)
                assert max(_count_runs(fleet).values()) == 1

        run_async(scenario())

    def test_paused_process_suspects_no_agent(
        self, run_async, network_prefix, tmp_path
    ):
        async def scenario():
            async with EmbeddedFleet(_plan(network_prefix), tmp_path) as fleet:
                await asyncio.sleep(1.0)
                balancer = fleet.list_balancers()[0]
                balancer.node.pause_detector.checked_at -= 60.0
                for status in balancer.detector.statuses.values():
                    status.probe_sent_at = 1.0
                    status.unanswered_probes = 10
                await asyncio.sleep(1.0)
                assert not balancer.detector.list_suspects()
                assert balancer.node.metrics.counters["process.paused"] == 1

        run_async(scenario())


class HeldDatagrams:
    """Holds datagrams of callers to deliver them late."""

    def __init__(self, fabric) -> None:
        self.fabric = fabric
        self.datagrams: list[tuple] = []
        self.callers = set(fabric.sockets)

    def release(self) -> None:
        """Deliver the held datagrams."""
        for sender, datagram, to in self.datagrams:
            sender.send(datagram, to)


def _hold_datagrams(fabric) -> HeldDatagrams:
    """Hold the datagrams that present callers send and drop those sent to them."""
    held = HeldDatagrams(fabric)
    held_sockets = {id(fabric.sockets[caller]) for caller in held.callers}
    send = fabric._send

    def hold(sender, datagram, to):
        if id(sender) in held_sockets:
            held.datagrams.append((sender, datagram, to))
        elif to not in held.callers:
            send(sender, datagram, to)

    fabric._send = hold
    return held


def _cut_off_other_zones(node) -> None:
    """Block a node's datagrams and links to other zones."""
    send = type(node).send.__get__(node)

    def send_within_zone(datagram, peer, counter):
        if node.find_zone(peer) not in (None, node.zone):
            return False
        return send(datagram, peer, counter)

    node.send = send_within_zone
    node.links.is_peer_allowed = lambda peer: node.find_zone(peer) in (None, node.zone)
