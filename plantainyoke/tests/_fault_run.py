"""Changes and faults in a `PacketSimulation`, and what must hold after each."""

import msgspec

from plantainyoke.standins import PacketSimulation

REORDER_S = 2.0  # time in which a flow must reach its target again
CALM_S = 4.0  # views agree and suspicions are over


class FaultRun:
    """Applies steps to a world and checks what callers and targets see."""

    def __init__(
        self, simulation: PacketSimulation, *, flows_per_step: int = 6
    ) -> None:
        self.simulation = simulation
        self.flows_per_step = flows_per_step
        self.callers = []
        self.lost = set()
        self.allowed = {"orders"}

    def apply(self, name: str, argument) -> None:
        getattr(self, name)(argument)
        self.callers += [
            self.simulation.open_flow() for _ in range(self.flows_per_step)
        ]
        for caller in self.callers:
            if caller.is_open and caller.reset_at is None:
                caller.send_request()
        self.simulation.advance(0.05)

    def restart_agents(self, chosen) -> None:
        self.simulation.restart(*sorted(chosen))

    def restart_balancers(self, chosen) -> None:
        self.simulation.restart(*sorted(chosen))

    def restart_all(self, _) -> None:
        self.simulation.restart(*self.simulation.processes)

    def kill_agent(self, host) -> None:
        self.simulation.kill(host)

    def restart_target(self, host) -> None:
        target = self.simulation.targets[host]
        self.lost |= set(target.flows) | set(target.half_open_flows)
        target.lose_flows()

    def drain(self, host) -> None:
        entry = self.simulation.published.targets[f"t{host}"]
        changed = msgspec.structs.replace(entry, draining=not entry.draining)
        self.simulation.publish(targets=(changed,))

    def zone_out(self, zone) -> None:
        zones = set(self.simulation.published.zones_out) | {zone}
        self.simulation.publish(zones_out=tuple(sorted(zones)))

    def zones_in(self, _) -> None:
        self.simulation.publish(zones_out=())

    def split(self, weights) -> None:
        shares = dict(zip(self.simulation.services, weights, strict=True))
        self.allowed |= {name for name, weight in shares.items() if weight}
        self.simulation.publish_shares(**shares)

    def lag(self, host) -> None:
        self.simulation.processes[host].is_subscribed = False

    def catch_up(self, _) -> None:
        for process in self.simulation.processes.values():
            process.is_subscribed = True
            process.catalogue.apply(
                self.simulation.published.snapshot(), self.simulation.now
            )

    def spray(self, on) -> None:
        simulation = self.simulation
        simulation.select_balancer = (
            (lambda flow: simulation.random.choice(simulation.balancers))
            if on
            else simulation.select_by_hash
        )

    def loss(self, share) -> None:
        self.simulation.loss = share

    def cut(self, pair) -> None:
        self.simulation.cut.add(frozenset(pair))

    def heal(self, _) -> None:
        self.simulation.cut.clear()

    def wait(self, seconds) -> None:
        self.simulation.advance(seconds)

    def calm(self) -> None:
        """End all faults and let the processes settle."""
        self.simulation.loss = 0.0
        self.simulation.cut.clear()
        self.catch_up(None)
        dead = [host for host, p in self.simulation.processes.items() if not p.is_alive]
        self.simulation.restart(*dead)
        self.simulation.advance(CALM_S)

    def check_services(self) -> None:
        for target in self.simulation.targets.values():
            assert not target.opened_flows or target.entry.service in self.allowed

    def check_resets(self) -> None:
        """No caller is reset while the target that holds its flow lives."""
        for caller in self.callers:
            if caller.reset_at is not None:
                assert self.simulation.find_holder(caller) is None or (
                    caller.flow in self.lost
                )

    def check_found(self) -> None:
        """Every open flow reaches its target again."""
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
        self.simulation.advance(REORDER_S)
        assert all(
            caller.last_answered > count
            for caller, count in zip(held, before, strict=True)
        )
