"""The packet path as separate processes on loopback."""

import asyncio
import json
import signal
import socket
import urllib.error
import urllib.request

from plantainyoke.conftest import until

METRICS_PORT = 9464


async def _open(site, count):
    callers = [site.open_flow() for _ in range(count)]
    await until(lambda: all(caller.opened for caller in callers))
    return callers


async def _ask_all(site, callers, *, within=3.0):
    for caller in callers:
        caller.ask()
    await until(lambda: all(one.answered == one.asked for one in callers), within)
    assert [caller.reset_at for caller in callers] == [None] * len(callers)


def _get(site, name, path):
    url = f"http://{site.machines[name].ip}:{METRICS_PORT}{path}"
    with urllib.request.urlopen(url, timeout=2) as response:
        return response.read().decode()


class TestFlows:
    def test_survive_planned_stops_of_every_process_in_turn(self, site):
        async def scenario(site):
            callers = await _open(site, 30)
            await _ask_all(site, callers)
            for name in site.machines:
                await site.restart(name)
                await _ask_all(site, callers)
                await site.wait_ready(name)

        site(scenario)

    def test_survive_the_death_of_all_processes(self, site):
        async def scenario(site):
            callers = await _open(site, 30)
            for name in site.machines:
                site.send_signal(name, signal.SIGKILL)
            for name in site.machines:
                await site.restart(name, signal.SIGKILL)
            await site.wait_ready(*site.machines)
            await _ask_all(site, callers)

        site(scenario)

    def test_split_and_zone_out_move_only_new_flows(self, site):
        async def scenario(site):
            callers = await _open(site, 20)
            site.publish_shares(drawings=1)
            site.evacuate("a")
            await asyncio.sleep(1.0)
            await _ask_all(site, callers)
            fresh = await _open(site, 20)
            # A caller counts as open before its target has the end of the handshake.
            await until(lambda: all(site.holder_of(one) for one in fresh))
            holders = [site.machines[site.holder_of(one)] for one in fresh]
            assert {(one.service, one.zone) for one in holders} == {("drawings", "b")}

        site(scenario, services={"orders": 2, "drawings": 2})

    def test_flow_of_a_restarted_target_is_reset(self, site):
        async def scenario(site):
            (caller,) = await _open(site, 1)
            for target in site.targets.values():
                target.restart()
            caller.ask()
            await until(lambda: caller.reset_at is not None, 0.5)

        site(scenario)


class TestPrograms:
    def test_reload_keeps_a_process(self, site):
        async def scenario(site):
            callers = await _open(site, 5)
            for name in site.machines:
                site.send_signal(name, signal.SIGHUP)
            await asyncio.sleep(0.5)
            assert all(one.process.poll() is None for one in site.machines.values())
            await _ask_all(site, callers)
            assert "event=reloaded" in site.log_of("agent-1")

        site(scenario)

    def test_unusable_settings_end_with_one_line(self, site):
        async def scenario(site):
            machine = site.machines["agent-1"]
            machine.process.kill()
            machine.process.wait()
            machine.ip = "nowhere"
            site.start_process("agent-1")
            assert await asyncio.to_thread(machine.process.wait, 5) == 1
            assert "event=settings_unusable" in site.log_of("agent-1")

        site(scenario)

    def test_status_metrics_and_explanations(self, site):
        async def scenario(site):
            (caller,) = await _open(site, 1)
            await _ask_all(site, [caller])
            holder = site.holder_of(caller)
            status = json.loads(await asyncio.to_thread(_get, site, holder, "/status"))
            assert status["ready"] and status["version"] == site.version
            text = await asyncio.to_thread(_get, site, holder, "/metrics")
            assert "plantainyoke_flow_opened_total 1" in text
            assert "plantainyoke_answer_seconds_count 1" in text
            name = _flow_name(site, caller)
            answer = await asyncio.to_thread(
                _get, site, holder, f"/explain?flow={name}"
            )
            assert json.loads(answer)["held"]

        site(scenario)

    def test_store_that_is_away_changes_nothing(self, site):
        async def scenario(site):
            callers = await _open(site, 10)
            site.store.mode = "busy"
            await asyncio.sleep(1.0)
            callers += await _open(site, 10)
            await _ask_all(site, callers)
            await site.restart("balancer-0", signal.SIGKILL)
            await site.wait_ready("balancer-0")
            await _ask_all(site, callers)

        site(scenario)


class TestHostileInput:
    def test_strange_datagrams_harm_nobody(self, site):
        async def scenario(site):
            callers = await _open(site, 5)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                for machine in site.machines.values():
                    for port in (18_720, 18_172, 18_162):
                        for size in (0, 1, 20, 35, 36, 60, 1300, 2000):
                            sender.sendto(b"\xf7" * size, (machine.ip, port))
                            sender.sendto(b"\x00" * size, (machine.ip, port))
            await asyncio.sleep(0.3)
            assert all(one.process.poll() is None for one in site.machines.values())
            await _ask_all(site, callers)

        site(scenario)


def _flow_name(site, caller):
    port = int.from_bytes(caller.flow[4:6], "big")
    return f"{site.caller_ip}:{port}%3E198.18.0.1:443"
