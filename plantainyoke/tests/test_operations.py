"""The steps of docs/OPERATIONS.md lead from a flow to the cause of its failure."""

import asyncio
import re
import signal

from plantainyoke.conftest import until
from plantainyoke.flows import describe_flow


def _find(site, flow: str, event: str) -> list[dict[str, str]]:
    """Return the fields of a flow's lines with an event, with their machine."""
    found = []
    for name in site.machines:
        for line in site.log_of(name).splitlines():
            if f" event={event} " in line and f"flow={flow}" in line:
                fields = dict(re.findall(r'(\w+)=("[^"]*"|\S+)', line))
                found.append({**fields, "machine": name})
    return found


class TestResetBeforeItOpened:
    def test_every_target_refused(self, site):
        async def scenario(site):
            for target in site.targets.values():
                target.accepts = False
            caller = site.open_flow()
            await until(lambda: caller.reset_at is not None)
            flow = describe_flow(caller.flow)
            (reset,) = _find(site, flow, "flow_reset")
            assert reset["reason"] == "no_target"
            refusals = _find(site, flow, "open_refused")
            assert {line["machine"] for line in refusals} == {
                f"agent-{number}" for number in range(1, 5)
            }
            assert {line["reason"] for line in refusals} == {"rejected"}

        site(scenario)

    def test_no_route_at_this_version(self, site):
        async def scenario(site):
            site.publish_shares()
            await asyncio.sleep(1.0)
            caller = site.open_flow()
            await until(lambda: caller.reset_at is not None)
            (reset,) = _find(site, describe_flow(caller.flow), "flow_reset")
            assert reset["reason"] == "no_target"
            assert reset["version"] == str(site.version)

        site(scenario)


class TestResetOfAnOpenFlow:
    def test_target_started_again(self, site):
        async def scenario(site):
            caller = site.open_flow()
            await until(lambda: caller.opened and site.holder_of(caller))
            holder = site.holder_of(caller)
            for target in site.targets.values():
                target.restart()
            caller.ask()
            await until(lambda: caller.reset_at is not None)
            flow = describe_flow(caller.flow)
            (held,) = _find(site, flow, "flow_held")
            assert held["target"] == f"t-{holder}"
            (reset,) = _find(site, flow, "flow_reset")
            assert (reset["machine"], reset["reason"]) == (holder, "target_lost_flow")

        site(scenario)


class TestSilence:
    def test_holder_is_among_the_machines_that_do_not_answer(self, site):
        async def scenario(site):
            caller = site.open_flow()
            await until(lambda: caller.opened and site.holder_of(caller))
            holder = site.holder_of(caller)
            site.send_signal(holder, signal.SIGKILL)
            for name in site.machines:
                if name != holder:
                    await site.restart(name, signal.SIGKILL)
            others = [name for name in site.machines if name != holder]
            await site.wait_ready(*others)
            caller.ask()
            flow = describe_flow(caller.flow)
            await until(lambda: _find(site, flow, "search_unanswered"), 9.0)
            line = _find(site, flow, "search_unanswered")[0]
            assert site.machines[holder].ip in line["silent"].split(",")
            assert caller.reset_at is None
            assert not _find(site, flow, "flow_reset")

        site(scenario)

    def test_process_that_stood_still_says_so(self, site):
        async def scenario(site):
            caller = site.open_flow()
            await until(lambda: caller.opened and site.holder_of(caller))
            holder = site.holder_of(caller)
            site.send_signal(holder, signal.SIGSTOP)
            caller.ask()
            await asyncio.sleep(1.2)
            assert caller.answered == 0
            site.send_signal(holder, signal.SIGCONT)
            await until(lambda: caller.answered == 1)
            assert "event=paused" in site.log_of(holder)

        site(scenario)
