"""An entry of another writer ends the task with which processes follow the store.

The entry has a number of 128 bits where a target writes its slots. The programs take it
for a target, but cannot encode the number for other processes, and the task ends with
an exception. An agent on which this happens keeps its view for good. Here it does not
learn that the idle timeout was raised, and drops flows that its target holds.
"""

import asyncio

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
RAISED_AFTER_S = 5.0
IDLE_S = 20.0  # within the raised timeout; the flows are younger than flowTtlS
REQUEST_TIMEOUT_S = 5.0


async def play(record: Record, is_troubled: bool) -> None:
    """Open flows, write the foreign entry, raise the idle timeout, use the flows."""
    plan = Plan({"order-desk": 3}, balancers=3)
    routes = [make_route("r-orders", *SERVICE_ADDRESS, "order-desk")]
    async with Deployment(plan, record) as deployment:
        store = deployment.store
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
        if is_troubled:
            # Another program on the machine of a target, started before the target.
            neighbour = deployment.hosts["side-1"]
            foreign = {
                "service": "order-desk",
                "address": f"{neighbour.ip}:{deployment.port('app') + 1}",
                "zone": neighbour.zone,
                "version": "v1",
                "slots": 0x1F0E2D3C4B5A69788796A5B4C3D2E1F0,
                "state": "ready",
                "coldLeftMs": 0,
                "sequence": 1,
                "born": neighbour.entry.born - 60_000,
            }
            store.put("servers/exporter-1", foreign)
            record.write("entry of another writer", value=foreign)
        await asyncio.sleep(RAISED_AFTER_S)
        configuration = make_configuration(
            12, routes, SERVICES, idle_timeout_ms=RAISED_IDLE_TIMEOUT_MS
        )
        store.put("op/config", configuration)
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
        ready = ",".join(await deployment.list_ready())
        record.write("ready", hosts=ready)
        deployment.record_logs("task_failed", "flow_reset", "search_started")


run_case(__file__, play)
