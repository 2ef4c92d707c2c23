"""Settings of the programs of the packet path."""

import msgspec

from plantainyoke.network import Address


class ProcessSettings(msgspec.Struct, frozen=True):
    """Settings of one process of the packet path.

    Attributes
    ----------
    name : str
    host : int
        Address of the host as an integer.
    ip : str
    zone : str
    packet_address : Address
        Where a balancer receives packets of callers. The port is also the one to
        which packets for a caller are sent.
    target_output_address : Address, optional
        Where an agent receives what its target sends.
    target_address : Address, optional
        Where an agent's target receives packets.
    service : str
        Service of an agent's target when the process started.
    ready_address : Address
    messages_port : int
        Port for datagrams and links between our processes, the same everywhere.
    seeds : tuple of int
        Hosts of a few balancers, perhaps stale.
    store_address : Address
        The platform's store.
    is_bootstrap : bool
        Whether the whole system starts for the first time.
    heartbeat_s : float
        Interval in which targets renew their entries.
    grace_s : float
        Time between SIGTERM and SIGKILL.
    cold_overshoot_factor, cold_extra_flows_per_s : float
        By how much the stated rate of a cold target may be exceeded.
    """

    name: str
    host: int
    ip: str
    zone: str
    packet_address: Address
    target_output_address: Address | None
    target_address: Address | None
    service: str
    ready_address: Address
    messages_port: int
    seeds: tuple[int, ...]
    store_address: Address
    is_bootstrap: bool
    heartbeat_s: float
    grace_s: float
    cold_overshoot_factor: float
    cold_extra_flows_per_s: float
