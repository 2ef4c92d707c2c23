"""The packet path as separate processes on loopback."""

import asyncio
import json
import signal
import socket
import urllib.error
import urllib.request

from plantainyoke.cli import run_control
from plantainyoke.conftest import wait_until

METRICS_PORT = 9464


async def _open_flows(fleet, count):
    """Open flows and wait until their callers see them open."""
    callers = [fleet.open_flow() for _ in range(count)]
    await wait_until(lambda: all(caller.is_open for caller in callers))
    return callers


async def _send_requests(fleet, callers, *, within=3.0):
    """Send a request on each flow and check that all are answered without a reset."""
    for caller in callers:
        caller.send_request()
    await wait_until(
        lambda: all(item.last_answered == item.last_requested for item in callers),
        within,
    )
    assert [caller.reset_at for caller in callers] == [None] * len(callers)


def _fetch(fleet, name, path):
    """Return the body of an HTTP resource of a host's metrics port."""
    url = f"http://{fleet.hosts[name].ip}:{METRICS_PORT}{path}"
    with urllib.request.urlopen(url, timeout=2) as response:
        return response.read().decode()


class TestFlows:
    def test_survive_a_rolling_restart(self, fleet):
        async def scenario(fleet):
            callers = await _open_flows(fleet, 30)
            await _send_requests(fleet, callers)
            for name in fleet.hosts:
                await fleet.restart(name)
                await _send_requests(fleet, callers)
                await fleet.wait_until_ready(name)

        fleet(scenario)

    def test_survive_sigkill_of_all_processes(self, fleet):
        async def scenario(fleet):
            callers = await _open_flows(fleet, 30)
            for name in fleet.hosts:
                fleet.send_signal(name, signal.SIGKILL)
            for name in fleet.hosts:
                await fleet.restart(name, signal.SIGKILL)
            await fleet.wait_until_ready(*fleet.hosts)
            await _send_requests(fleet, callers)

        fleet(scenario)

    def test_split_and_zone_out_move_only_new_flows(self, fleet):
        async def scenario(fleet):
            callers = await _open_flows(fleet, 20)
            fleet.publish_shares(drawings=1)
            fleet.take_zone_out("a")
            await asyncio.sleep(1.0)
            await _send_requests(fleet, callers)
            fresh = await _open_flows(fleet, 20)
            # A caller is open before its target has received the end of the handshake.
            await wait_until(lambda: all(fleet.find_holder(caller) for caller in fresh))
            holders = [fleet.hosts[fleet.find_holder(caller)] for caller in fresh]
            assert {(host.service, host.zone) for host in holders} == {
                ("drawings", "b")
            }

        fleet(scenario, services={"orders": 2, "drawings": 2})

    def test_flow_of_a_restarted_target_is_reset(self, fleet):
        """A restarted target has lost its flows; the caller must learn it at once."""

        async def scenario(fleet):
            (caller,) = await _open_flows(fleet, 1)
            for target in fleet.targets.values():
                target.lose_flows()
            caller.send_request()
            await wait_until(lambda: caller.reset_at is not None, 0.5)

        fleet(scenario)


class TestRestoredStore:
    """The store returns from an older copy and gives revisions out again."""

    def test_change_that_reuses_a_revision_is_in_force(self, fleet):
        async def scenario(fleet):
            copy = fleet.store.take_copy()
            for shares in ({"orders": 2}, {"orders": 3}):
                fleet.publish_shares(**shares)
                await asyncio.sleep(0.3)
            fleet.store.restore(copy)
            fleet.store.write_again()
            await asyncio.sleep(0.5)
            fleet.publish_shares(drawings=1)
            await asyncio.sleep(1.0)
            callers = await _open_flows(fleet, 20)
            await wait_until(lambda: all(fleet.find_holder(one) for one in callers))
            holders = {fleet.hosts[fleet.find_holder(one)].service for one in callers}
            assert holders == {"drawings"}

        fleet(scenario, services={"orders": 2, "drawings": 2})

    def test_process_that_starts_before_it_is_written_again_has_no_older_version(
        self, fleet
    ):
        async def scenario(fleet):
            copy = fleet.store.take_copy()
            fleet.publish_shares(drawings=1)
            await asyncio.sleep(0.5)
            fleet.store.restore(copy)
            for name in fleet.hosts:
                await fleet.restart(name, signal.SIGKILL)
                await fleet.wait_until_ready(name)
            await asyncio.sleep(0.5)
            for name in fleet.hosts:
                status = await asyncio.to_thread(_fetch, fleet, name, "/status")
                assert json.loads(status)["version"] == fleet.version

        fleet(scenario, services={"orders": 2, "drawings": 2})

    def test_flows_of_targets_that_the_copy_lacks_are_served(self, fleet):
        async def scenario(fleet):
            fleet.store.delete(f"servers/{fleet.hosts['agent-1'].entry}")
            copy = fleet.store.take_copy()
            fleet.publish_target("agent-1")
            await asyncio.sleep(1.0)
            callers = await _open_flows(fleet, 20)
            fleet.store.restore(copy)
            await asyncio.sleep(0.5)
            await fleet.restart("balancer-0", signal.SIGKILL)
            await fleet.wait_until_ready("balancer-0")
            await _send_requests(fleet, callers)
            fleet.store.write_again()
            await _send_requests(fleet, callers)

        fleet(scenario)


class TestPrograms:
    def test_reload_keeps_the_process_and_its_flows(self, fleet):
        async def scenario(fleet):
            callers = await _open_flows(fleet, 5)
            for name in fleet.hosts:
                fleet.send_signal(name, signal.SIGHUP)
            await asyncio.sleep(0.5)
            assert all(host.process.poll() is None for host in fleet.hosts.values())
            await _send_requests(fleet, callers)
            assert "event=reloaded" in fleet.read_log("agent-1")

        fleet(scenario)

    def test_balancer_drains_within_the_grace_period_in_force(self, fleet):
        # It went by that of its start; a shorter one let it be killed while it drained.
        async def scenario(fleet):
            balancer = fleet.hosts["balancer-0"]
            path = fleet.directory / "balancer-0.toml"
            path.write_text(path.read_text().replace("graceS = 3", "graceS = 2"))
            sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            fleet.send_signal("balancer-0", signal.SIGTERM)
            stopped_at = fleet.now + 2.0
            while balancer.process.poll() is None and fleet.now < stopped_at + 2.0:
                sender.sendto(b"\x00" * 36, (balancer.ip, 18_172))  # routers still send
                await asyncio.sleep(0.05)
            sender.close()
            assert balancer.process.poll() == 0
            assert fleet.now < stopped_at

        fleet(scenario)

    def test_unusable_settings_are_logged_and_exit_with_1(self, fleet):
        async def scenario(fleet):
            loopback_host = fleet.hosts["agent-1"]
            loopback_host.process.kill()
            loopback_host.process.wait()
            loopback_host.ip = "nowhere"
            fleet.start_process("agent-1")
            assert await asyncio.to_thread(loopback_host.process.wait, 5) == 1
            assert "event=settings_unusable" in fleet.read_log("agent-1")

        fleet(scenario)

    def test_status_metrics_and_explain_show_a_flow(self, fleet):
        async def scenario(fleet):
            (caller,) = await _open_flows(fleet, 1)
            await _send_requests(fleet, [caller])
            holder = fleet.find_holder(caller)
            status = json.loads(
                await asyncio.to_thread(_fetch, fleet, holder, "/status")
            )
            assert status["ready"] and status["version"] == fleet.version
            text = await asyncio.to_thread(_fetch, fleet, holder, "/metrics")
            assert "plantainyoke_flow_opened_total 1" in text
            assert "plantainyoke_answer_seconds_count 1" in text
            name = _quote_flow(fleet, caller)
            answer = await asyncio.to_thread(
                _fetch, fleet, holder, f"/explain?flow={name}"
            )
            assert json.loads(answer)["held"]

        fleet(scenario)

    def test_check_compares_with_the_version_in_force(self, fleet, tmp_path, capsys):
        """A check against another version would state wrong effects on open flows."""

        async def scenario(fleet):
            (caller,) = await _open_flows(fleet, 1)
            await _send_requests(fleet, [caller])
            path = tmp_path / "next.json"
            document = json.loads(fleet.store.written["op/config"])
            document["version"] += 1
            document["services"][0]["coldPerS"] = 1e6
            path.write_text(json.dumps(document))
            for name in (fleet.find_holder(caller), "balancer-0"):
                control = f"{fleet.hosts[name].ip}:{METRICS_PORT}"
                arguments = ["check", str(path), "--control", control]
                assert await asyncio.to_thread(run_control, arguments) == 1
                lines = capsys.readouterr().out.splitlines()
                codes = [line.rpartition(" ")[2] for line in lines]
                assert "service_changed]" in codes
                assert "cold_rate_above_flows]" in codes
            await _send_requests(fleet, [caller])

        fleet(scenario)

    def test_unavailable_store_does_not_affect_flows(self, fleet):
        """The store answers 503; a balancer that restarts must serve all the same."""

        async def scenario(fleet):
            callers = await _open_flows(fleet, 10)
            fleet.store.mode = "busy"
            await asyncio.sleep(1.0)
            callers += await _open_flows(fleet, 10)
            await _send_requests(fleet, callers)
            await fleet.restart("balancer-0", signal.SIGKILL)
            await fleet.wait_until_ready("balancer-0")
            await _send_requests(fleet, callers)

        fleet(scenario)


class TestHostileInput:
    def test_malformed_datagrams_do_not_affect_flows(self, fleet):
        async def scenario(fleet):
            callers = await _open_flows(fleet, 5)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                for loopback_host in fleet.hosts.values():
                    for port in (18_720, 18_172, 18_162):
                        for size in (0, 1, 20, 35, 36, 60, 1300, 2000):
                            sender.sendto(b"\xf7" * size, (loopback_host.ip, port))
                            sender.sendto(b"\x00" * size, (loopback_host.ip, port))
            await asyncio.sleep(0.3)
            assert all(host.process.poll() is None for host in fleet.hosts.values())
            await _send_requests(fleet, callers)

        fleet(scenario)


class TestOddEntries:
    """Another writer leaves entries among those of the targets."""

    # Readers ended or stopped following the store on some of these (review/4).
    CONTENTS = (
        b"\xff\x00",
        b"[1]",
        b"[" * 100_000 + b"]" * 100_000,
        b'{"service": "orders", "a": ' + b'{"a":' * 50_000 + b"1" + b"}" * 50_001,
    )
    CHANGES = (
        {"slots": 2**127},
        {"born": 2**100},
        {"sequence": -(2**200)},
        {"coldLeftMs": 10**400},
        {"address": "10.1.0.40:65536"},
        {"address": "10.1.0.40:" + "9" * 5000},
        {"address": "0.0.0.0:80"},
        {"zone": "z" * 100_000},
        {"service": ""},
        {"state": "x" * 100_000},
        {"service": "exporter", "born": 2**40},
        {"version": None, "born": 2**40},
    )

    def _write(self, fleet):
        host = fleet.hosts["agent-1"]
        entry = json.loads(fleet.store.written[f"servers/{host.entry}"])
        odd = [json.dumps({**entry, **changes}).encode() for changes in self.CHANGES]
        for number, content in enumerate([*self.CONTENTS, *odd]):
            fleet.store.put_bytes(f"servers/exporter-{number}", content)
            # Readers get each in an answer of its own, and some together with others.
            fleet.store.put_bytes("servers/" + "n" * 199 + str(number), content)

    async def _check(self, fleet, callers, processes):
        """Check that no process ended and that changes are still in force."""
        fleet.publish_shares(orders=2)
        await asyncio.sleep(1.0)
        for name, process in processes.items():
            assert process.poll() is None
            status = json.loads(await asyncio.to_thread(_fetch, fleet, name, "/status"))
            assert status["ready"] and status["version"] == fleet.version
            assert "task.failed" not in status["counters"]
        await _send_requests(fleet, callers)

    def test_entries_written_while_processes_run(self, fleet):
        async def scenario(fleet):
            callers = await _open_flows(fleet, 10)
            processes = {name: host.process for name, host in fleet.hosts.items()}
            self._write(fleet)
            await self._check(fleet, callers, processes)

        fleet(scenario)

    def test_entries_that_are_there_when_all_processes_start(self, fleet):
        async def scenario(fleet):
            callers = await _open_flows(fleet, 10)
            self._write(fleet)
            fleet.store.mode = "busy"
            for name in fleet.hosts:
                await fleet.restart(name, signal.SIGKILL)
            await asyncio.sleep(1.0)
            fleet.store.mode = "up"
            processes = {name: host.process for name, host in fleet.hosts.items()}
            await fleet.wait_until_ready(*fleet.hosts)
            await self._check(fleet, callers, processes)

        fleet(scenario)


def _quote_flow(fleet, caller):
    """Return the name of a caller's flow, quoted for a URL."""
    port = int.from_bytes(caller.flow[4:6], "big")
    return f"{fleet.caller_ip}:{port}%3E198.18.0.1:443"
