import asyncio
from contextlib import AsyncExitStack

import pytest

from plantainyoke.balancer import start_balancer
from plantainyoke.configuration import BalancerSettings
from plantainyoke.standins import EmbeddedFleet, FleetPlan, ServicePlan

# Time within which a change must be in force everywhere in a fleet of today's size.
IN_FORCE_TIMEOUT_S = 2.0
OBSERVATION_S = 8.0
READER_COUNT = 3 * 2  # two in each of three zones


def _build_plan(network_prefix: str, *, targets: int, balancers: int = 6) -> FleetPlan:
    services = (ServicePlan("orders", targets),)
    return FleetPlan(network_prefix, balancers=balancers, services=services)


class TestPlatformCalls:
    @pytest.mark.parametrize("targets", [3, 15, 60])
    def test_platform_calls_grow_with_readers_not_with_processes(
        self, run_async, network_prefix, tmp_path, targets
    ):
        async def scenario():
            plan = _build_plan(network_prefix, targets=targets, balancers=6)
            async with EmbeddedFleet(plan, tmp_path) as fleet:
                before = fleet.platform.calls.copy()
                await asyncio.sleep(OBSERVATION_S)
                await fleet.wait_for_generation(fleet.publish())
                calls = fleet.platform.calls - before
                # Readers refresh hosts every 5 s +-25%, renew their watch, and
                # fetch one change.
                assert calls["hosts"] <= READER_COUNT * 3
                assert calls["watch"] <= READER_COUNT * 2
                assert calls["index"] == 0
                assert calls["chunk"] <= READER_COUNT

        run_async(scenario())


class TestConfigurationChange:
    def test_change_reaches_every_process(self, run_async, network_prefix, tmp_path):
        async def scenario():
            async with EmbeddedFleet(
                _build_plan(network_prefix, targets=9), tmp_path
            ) as fleet:
                for _ in range(3):
                    generation = fleet.publish()
                    await fleet.wait_for_generation(
                        generation, timeout_s=IN_FORCE_TIMEOUT_S
                    )

        run_async(scenario())

    def test_stale_replica_does_not_revert_running_or_restarted_process(
        self, run_async, network_prefix, tmp_path
    ):
        async def scenario():
            async with EmbeddedFleet(
                _build_plan(network_prefix, targets=3), tmp_path
            ) as fleet:
                old = fleet.platform.published
                await fleet.wait_for_generation(fleet.publish())
                fleet.platform.stale_configuration = old
                fleet.platform._notify()
                await asyncio.sleep(1.0)
                assert {
                    m.component.node.generation for m in fleet.members.values()
                } == {2}
                await fleet.kill("balancer-1")
                restarted = await fleet.start_balancer(1)
                await fleet.wait_for_generation(2)
                assert restarted.node.generation == 2

        run_async(scenario())

    def test_change_after_the_platform_was_restored_is_in_force_in_time(
        self, run_async, network_prefix, tmp_path
    ):
        async def scenario():
            async with EmbeddedFleet(
                _build_plan(network_prefix, targets=3), tmp_path
            ) as fleet:
                copy = fleet.platform.published
                await fleet.wait_for_generation(fleet.publish())
                fleet.platform.publish(copy)
                await asyncio.sleep(1.0)
                assert {
                    m.component.node.generation for m in fleet.members.values()
                } == {2}
                await fleet.wait_for_generation(
                    fleet.publish(), timeout_s=IN_FORCE_TIMEOUT_S
                )

        run_async(scenario())

    def test_zone_out_is_learnt_from_peers_while_the_platform_is_down(
        self, run_async, network_prefix, tmp_path
    ):
        async def scenario():
            plan = _build_plan(network_prefix, targets=6, balancers=3)
            async with EmbeddedFleet(plan, tmp_path) as fleet:
                connected_node = fleet.members["balancer-0"].component.node
                for name, member in fleet.members.items():
                    if name != "balancer-0":
                        member.component.node.platform.base_url = "http://127.0.0.1:1"
                # Watches opened before would still deliver the change; end them.
                fleet.platform.set_down(True)
                await asyncio.sleep(0.2)
                fleet.platform.set_down(False)
                generation = fleet.set_zone_state("pikine", "out")
                await fleet.wait_for_generation(
                    generation, timeout_s=IN_FORCE_TIMEOUT_S + 1.0
                )
                assert connected_node.follower.source == "platform"

        run_async(scenario())

    def test_new_process_bootstraps_from_seeds_while_platform_is_down(
        self, run_async, network_prefix, tmp_path
    ):
        async def scenario():
            plan = _build_plan(network_prefix, targets=3, balancers=3)
            async with EmbeddedFleet(plan, tmp_path) as fleet:
                await fleet.wait_for_generation(fleet.publish())
                fleet.platform.set_down(True)
                settings = fleet.members["balancer-0"].settings
                new_settings = settings.model_copy(
                    update={
                        "listen": f"{network_prefix}.2.99:7000",
                        "seeds": [settings.listen],
                        "balancer": BalancerSettings(service_port_offset=9_000),
                    }
                )
                async with AsyncExitStack() as stack:
                    balancer = await start_balancer(new_settings, stack, seed=1)
                    assert balancer.node.generation == 2
                    assert balancer.node.follower.source == settings.listen

        run_async(scenario())

    def test_requests_succeed_and_changes_resume_after_platform_outage(
        self, run_async, network_prefix, tmp_path
    ):
        async def scenario():
            async with EmbeddedFleet(
                _build_plan(network_prefix, targets=3), tmp_path
            ) as fleet:
                fleet.platform.set_down(True)
                async with fleet.open_session("orders") as session:
                    for number in range(5):
                        await session.request("POST", "/orders", body=b"%d" % number)
                        await asyncio.sleep(0.3)
                fleet.platform.set_down(False)
                await fleet.wait_for_generation(fleet.publish())

        run_async(scenario())


class TestZoneOut:
    def test_zone_out_receives_no_packets_after_three_seconds(
        self, run_async, network_prefix, tmp_path
    ):
        async def scenario():
            plan = _build_plan(network_prefix, targets=6, balancers=3)
            async with EmbeddedFleet(plan, tmp_path) as fleet:
                sessions = [fleet.open_session("orders", seed=i) for i in range(6)]
                for session in sessions:
                    await session.request("POST", "/orders", body=b"before")
                fleet.set_zone_state("rufisque", "out")
                await asyncio.sleep(3.0)
                out = [
                    member.component.node
                    for member in fleet.members.values()
                    if member.settings.zone == "rufisque"
                ]
                assert out
                requests_started_at = asyncio.get_running_loop().time()
                for number in range(10):
                    for session in sessions:
                        await session.request("POST", "/orders", body=b"%d" % number)
                await asyncio.sleep(1.0)
                assert max(node.received_at for node in out) < requests_started_at
                assert not any(link for node in out for link in node.links.accepted)
                for session in sessions:
                    await session.aclose()

        run_async(scenario())
