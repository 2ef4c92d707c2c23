"""An agent is restarted as planned, then the idle timeout is raised.

The restarted agent asks its target about unknown flows only for as long as the idle
timeout that was in force at its start. Later it denies flows that its target holds.
"""

import asyncio
import signal

from review.rig import (
    Deployment,
    Outcome,
    Plan,
    Record,
    make_configuration,
    make_route,
    run_case,
)

SERVICE_ADDRESS = "127.198.0.1", 8443
SERVICES = ["order-desk"]
FLOWS_PER_ZONE = 6
IDLE_TIMEOUT_MS, RAISED_IDLE_TIMEOUT_MS = 15_000, 30_000
RAISED_AFTER_S = 4.0
IDLE_S = 20.0  # within the raised timeout; the flows are younger than flowTtlS
REQUEST_TIMEOUT_S = 5.0


async def play(record: Record, is_troubled: bool) -> None:
    """Open flows, restart one agent, raise the idle timeout, and use the flows."""
    plan = Plan({"order-desk": 3}, balancers=3)
    routes = [make_route("r-orders", *SERVICE_ADDRESS, "order-desk")]
    async with Deployment(plan, record) as deployment:
        await deployment.start_all(
            make_configuration(7, routes, SERVICES, idle_timeout_ms=IDLE_TIMEOUT_MS)
        )
        flows = []
        for caller in deployment.callers.values():
            for _ in range(FLOWS_PER_ZONE):
                flow = caller.new_flow(SERVICE_ADDRESS)
                number = len(flows)
                await flow.open()
                outcome = await flow.request(f"first-{number}", REQUEST_TIMEOUT_S)
                if outcome != Outcome.ANSWERED:
                    raise RuntimeError(f"first-{number} is {outcome}")
                flows.append(flow)
        record.write("flows are open", flows=len(flows))
        agent = deployment.hosts[deployment.find_holder(flows[0])]
        if is_troubled:
            deployment.send_signal(agent, signal.SIGTERM)
        await asyncio.sleep(RAISED_AFTER_S)
        configuration = make_configuration(
            12, routes, SERVICES, idle_timeout_ms=RAISED_IDLE_TIMEOUT_MS
        )
        deployment.store.put("op/config", configuration)
        record.write("idle timeout raised and acknowledged")
        await asyncio.sleep(IDLE_S - RAISED_AFTER_S)
        for number, flow in enumerate(flows):
            holder = deployment.find_holder(flow)
            name = f"second-{number}"
            outcome = await flow.request(name, REQUEST_TIMEOUT_S)
            record.write(
                "request",
                id=name,
                outcome=outcome.value,
                held_by=holder,
                runs=len(deployment.list_runs(name)),
            )
            if holder and flow.has_foreign_reset:
                record.violate(
                    f"the flow of {name}, which the target of {holder} holds, was "
                    "reset by the system"
                )
        deployment.record_logs("flow_reset", "search_started", "ready")


run_case(__file__, play)
