"""The steps of docs/OPERATIONS.md lead from a flow to the cause of its failure."""

import asyncio
import re
import signal

from plantainyoke.conftest import wait_until
from plantainyoke.flows import format_flow


def _find_log_lines(
    fleet, flow: str, event: str, *, key: str = "flow="
) -> list[dict[str, str]]:
    """Return the fields of a flow's log lines of one event, each with its host."""
    found = []
    for name in fleet.hosts:
        for line in fleet.read_log(name).splitlines():
            if f" event={event} " in line and f"{key}{flow}" in line:
                fields = dict(re.findall(r'(\w+)=("[^"]*"|\S+)', line))
                found.append({**fields, "host": name})
    return found


class TestResetBeforeOpen:
    def test_log_names_every_target_that_refused(self, fleet):
        async def scenario(fleet):
            for target in fleet.targets.values():
                target.is_accepting = False
            caller = fleet.open_flow()
            await wait_until(lambda: caller.reset_at is not None)
            flow = format_flow(caller.flow)
            (reset,) = _find_log_lines(fleet, flow, "flow_reset")
            assert reset["reason"] == "no_target"
            refusals = _find_log_lines(fleet, flow, "open_refused")
            assert {line["host"] for line in refusals} == {
                f"agent-{number}" for number in range(1, 5)
            }
            assert {line["reason"] for line in refusals} == {"rejected"}

        fleet(scenario)

    def test_log_names_the_version_without_a_route(self, fleet):
        async def scenario(fleet):
            fleet.publish_shares()
            await asyncio.sleep(1.0)
            caller = fleet.open_flow()
            await wait_until(lambda: caller.reset_at is not None)
            (reset,) = _find_log_lines(fleet, format_flow(caller.flow), "flow_reset")
            assert reset["reason"] == "no_target"
            assert reset["version"] == str(fleet.version)

        fleet(scenario)


class TestOlderConfiguration:
    def test_log_leads_from_a_flow_to_the_restoration_of_the_store(self, fleet):
        async def scenario(fleet):
            copy = fleet.store.take_copy()
            fleet.publish_shares(orders=2)
            await asyncio.sleep(0.5)
            fleet.store.restore(copy)
            await asyncio.sleep(0.5)
            caller = fleet.open_flow()
            await wait_until(lambda: caller.is_open)
            (placed,) = _find_log_lines(fleet, format_flow(caller.flow), "open_placed")
            assert placed["version"] == str(fleet.version)
            changes = _find_log_lines(fleet, "", "catalogue_changed", key="")
            view = [line for line in changes if line["host"] == placed["host"]][-1]
            assert (view["epoch"], view["version"]) == ("2", placed["version"])
            restorations = _find_log_lines(fleet, "", "store_restored", key="")
            assert {line["epoch"] for line in restorations} == {"2"}
            assert {line["known_epoch"] for line in restorations} == {"1"}

        fleet(scenario)


class TestResetOfAnOpenFlow:
    def test_log_names_the_target_that_lost_the_flow(self, fleet):
        async def scenario(fleet):
            caller = fleet.open_flow()
            await wait_until(lambda: caller.is_open and fleet.find_holder(caller))
            holder = fleet.find_holder(caller)
            for target in fleet.targets.values():
                target.lose_flows()
            caller.send_request()
            await wait_until(lambda: caller.reset_at is not None)
            flow = format_flow(caller.flow)
            (held,) = _find_log_lines(fleet, flow, "flow_held")
            assert held["target"] == f"t-{holder}"
            (reset,) = _find_log_lines(fleet, flow, "flow_reset")
            assert (reset["host"], reset["reason"]) == (holder, "target_lost_flow")

        fleet(scenario)


class TestUnansweredRequest:
    def test_log_lists_the_holder_as_silent(self, fleet):
        """The holder's agent is dead and the other processes have lost their state, so
        the search for the holder cannot end.
        """

        async def scenario(fleet):
            caller = fleet.open_flow()
            await wait_until(lambda: caller.is_open and fleet.find_holder(caller))
            holder = fleet.find_holder(caller)
            fleet.send_signal(holder, signal.SIGKILL)
            for name in fleet.hosts:
                if name != holder:
                    await fleet.restart(name, signal.SIGKILL)
            others = [name for name in fleet.hosts if name != holder]
            await fleet.wait_until_ready(*others)
            caller.send_request()
            flow = format_flow(caller.flow)
            await wait_until(
                lambda: _find_log_lines(fleet, flow, "search_unanswered"), 9.0
            )
            line = _find_log_lines(fleet, flow, "search_unanswered")[0]
            assert fleet.hosts[holder].ip in line["silent"].split(",")
            assert caller.reset_at is None
            assert not _find_log_lines(fleet, flow, "flow_reset")

        fleet(scenario)

    def test_paused_process_logs_its_pause(self, fleet):
        async def scenario(fleet):
            caller = fleet.open_flow()
            await wait_until(lambda: caller.is_open and fleet.find_holder(caller))
            holder = fleet.find_holder(caller)
            fleet.send_signal(holder, signal.SIGSTOP)
            caller.send_request()
            await asyncio.sleep(1.2)
            assert caller.last_answered == 0
            fleet.send_signal(holder, signal.SIGCONT)
            await wait_until(lambda: caller.last_answered == 1)
            assert "event=paused" in fleet.read_log(holder)

        fleet(scenario)
