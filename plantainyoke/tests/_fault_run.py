"""Steps that change or disturb a `PacketSimulation`, and checks of its flows.

The tests run series of steps, given by the name of a method and its argument. After
each step and at the end they check that no flow was reset, misplaced or stuck.
"""

import msgspec

from plantainyoke.standins import PacketSimulation

RECOVERY_S = 2.0  # a flow must reach its target again within this
SETTLE_S = 4.0  # catalogues agree and suspicions have expired


class FaultRun:
    """Applies steps to a simulation and checks its callers and targets.

    Parameters
    ----------
    simulation : PacketSimulation
    flows_per_step : int, default=6
        Flows opened after each step.

    Attributes
    ----------
    callers : list of FakeCaller
        Callers of all flows opened so far.
    lost_flows : set of bytes
        Flows of targets that crashed; a reset of these is correct.
    allowed_services : set of str
        Services that had a share of the route at any time so far.
    """

    def __init__(
        self, simulation: PacketSimulation, *, flows_per_step: int = 6
    ) -> None:
        self.simulation = simulation
        self.flows_per_step = flows_per_step
        self.callers = []
        self.lost_flows = set()
        self.allowed_services = {"orders"}

    def apply(self, name: str, argument) -> None:
        """Apply one step, open new flows and send a request on every open flow."""
        getattr(self, name)(argument)
        self.callers += [
            self.simulation.open_flow() for _ in range(self.flows_per_step)
        ]
        for caller in self.callers:
            if caller.is_open and caller.reset_at is None:
                caller.send_request()
        self.simulation.advance(0.05)

    def restart_agents(self, hosts) -> None:
        self.simulation.restart(*sorted(hosts))

    def restart_balancers(self, hosts) -> None:
        self.simulation.restart(*sorted(hosts))

    def restart_all(self, _) -> None:
        self.simulation.restart(*self.simulation.processes)

    def kill_agent(self, host) -> None:
        self.simulation.kill(host)

    def restart_target(self, host) -> None:
        target = self.simulation.targets[host]
        self.lost_flows |= set(target.flows) | set(target.half_open_flows)
        target.lose_flows()

    def toggle_draining(self, host) -> None:
        entry = self.simulation.published.targets[f"t{host}"]
        updated = msgspec.structs.replace(entry, draining=not entry.draining)
        self.simulation.publish(targets=(updated,))

    def take_zone_out(self, zone) -> None:
        zones = set(self.simulation.published.zones_out) | {zone}
        self.simulation.publish(zones_out=tuple(sorted(zones)))

    def restore_zones(self, _) -> None:
        self.simulation.publish(zones_out=())

    def publish_shares(self, weights) -> None:
        shares = dict(zip(self.simulation.services, weights, strict=True))
        self.allowed_services |= {name for name, weight in shares.items() if weight}
        self.simulation.publish_shares(**shares)

    def unsubscribe(self, host) -> None:
        self.simulation.processes[host].is_subscribed = False

    def resubscribe_all(self, _) -> None:
        for process in self.simulation.processes.values():
            process.is_subscribed = True
            process.catalogue.apply(
                self.simulation.published.snapshot(self.simulation.now),
                self.simulation.now,
            )

    def route_randomly(self, is_on) -> None:
        simulation = self.simulation
        simulation.select_balancer = (
            (lambda flow: simulation.rng.choice(simulation.balancers))
            if is_on
            else simulation.select_by_hash
        )

    def set_loss(self, loss) -> None:
        self.simulation.loss = loss

    def partition(self, hosts) -> None:
        self.simulation.partitioned_pairs.add(frozenset(hosts))

    def heal_partitions(self, _) -> None:
        self.simulation.partitioned_pairs.clear()

    def wait(self, duration_s) -> None:
        self.simulation.advance(duration_s)

    def settle(self) -> None:
        """End all faults and wait until the processes have settled."""
        self.simulation.loss = 0.0
        self.simulation.partitioned_pairs.clear()
        self.resubscribe_all(None)
        stopped = [
            host for host, p in self.simulation.processes.items() if not p.is_alive
        ]
        self.simulation.restart(*stopped)
        self.simulation.advance(SETTLE_S)

    def check_services(self) -> None:
        """Check that no flow was opened for a service without a share."""
        for target in self.simulation.targets.values():
            assert (
                not target.opened_flows or target.entry.service in self.allowed_services
            )

    def check_resets(self) -> None:
        """Check that no flow was reset while a target holds it, lost flows excepted."""
        for caller in self.callers:
            if caller.reset_at is not None:
                assert self.simulation.find_holder(caller) is None or (
                    caller.flow in self.lost_flows
                )

    def check_flows_recover(self) -> None:
        """Check that a request on every held flow is answered in time."""
        held = [
            caller
            for caller in self.callers
            if caller.reset_at is None
            and self.simulation.find_holder(caller) is not None
        ]
        before = [caller.last_answered for caller in held]
        for caller in held:
            caller.last_requested = caller.last_answered
            caller.send_request()
        self.simulation.advance(RECOVERY_S)
        assert all(
            caller.last_answered > previous
            for caller, previous in zip(held, before, strict=True)
        )
