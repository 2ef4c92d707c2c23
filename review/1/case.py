"""No balancer becomes ready after all processes were killed.

A balancer that starts knows only the store and the seeds, which are balancers. Its call
to the store ends after 1.5 s, whether or not the answer is still arriving. Over a slow
link a configuration of some hundred kilobytes takes longer.
"""

import asyncio
import signal
import time

from review.rig import (
    Caller,
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
FRONTEND_LINK_MBPS = 5.0
ADDED_ROUTES, ADDITIONS = 1400, 4
ADDITION_INTERVAL_S = 3.0
RECOVERY_S = 12.0
BEFORE_S, AFTER_S = 3.0, 6.0
REQUEST_INTERVAL_S = 0.1
REQUEST_TIMEOUT_S = 1.0
SERVED_SHARE = 0.25


class Demand:
    """Sends requests, each on a flow of its own, and counts those that are served."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.sent = self.served = 0
        self.number = 0

    async def send_for(self, duration_s: float) -> float:
        """Send requests for some time and return the share that was served."""
        self.sent = self.served = 0
        end = time.monotonic() + duration_s
        tasks = []
        while time.monotonic() < end:
            for caller in self.deployment.callers.values():
                tasks.append(self.deployment.run_task(self._send(caller)))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        await asyncio.gather(*tasks)
        share = self.served / self.sent
        self.deployment.record.write(
            "requests", sent=self.sent, served=self.served, share=round(share, 3)
        )
        return share

    async def _send(self, caller: Caller) -> None:
        self.sent += 1
        self.number += 1
        name = f"q-{self.number}"
        flow = caller.new_flow(SERVICE_ADDRESS)
        outcome = await flow.open()
        if outcome == Outcome.ANSWERED:
            outcome = await flow.request(name, REQUEST_TIMEOUT_S)
        self.deployment.record.write("request", id=name, outcome=outcome.value)
        self.served += outcome == Outcome.ANSWERED
        flow.close()


async def grow_configuration(deployment: Deployment) -> None:
    """Add routes without traffic to the configuration in a few versions."""
    routes = [make_route("r-orders", *SERVICE_ADDRESS, "order-desk")]
    await deployment.start_all(make_configuration(7, routes, SERVICES))
    for addition in range(ADDITIONS):
        first = ADDED_ROUTES * addition
        for number in range(first, first + ADDED_ROUTES):
            ip = f"127.198.{1 + number // 250}.{1 + number % 250}"
            route = make_route(f"r-{number:06}", ip, 8443, "order-desk", kind="safe")
            routes.append(route)
        configuration = make_configuration(10 + 3 * addition, routes, SERVICES)
        deployment.store.put("op/config", configuration)
        await asyncio.sleep(ADDITION_INTERVAL_S)
    size = len(deployment.store.items["op/config"]["value"]) * 3 // 4
    deployment.record.write("configuration", routes=len(routes), bytes=size)


async def play(record: Record, is_troubled: bool) -> None:
    """Let the configuration grow, kill all processes, and count what is served then."""
    plan = Plan({"order-desk": 6}, balancers=3, frontend_link_mbps=FRONTEND_LINK_MBPS)
    async with Deployment(plan, record) as deployment:
        await grow_configuration(deployment)
        demand = Demand(deployment)
        if await demand.send_for(BEFORE_S) < SERVED_SHARE:
            raise RuntimeError("too little is served before the final fault")
        if is_troubled:
            for host in deployment.hosts.values():
                deployment.send_signal(host, signal.SIGKILL)
        await asyncio.sleep(1.0)
        record.write("all processes are running")
        await asyncio.sleep(RECOVERY_S)
        share = await demand.send_for(AFTER_S)
        ready = ",".join(await deployment.list_ready())
        record.write("ready", hosts=ready)
        if share < SERVED_SHARE:
            record.violate(
                f"{share:.0%} of the requests sent later than {RECOVERY_S} s after "
                f"the machines were back were served; ready: {ready}"
            )
        deployment.record_logs("starting", "ready", "store_failed")


run_case(__file__, play)
