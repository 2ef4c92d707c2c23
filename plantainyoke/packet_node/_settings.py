"""Settings of a balancer or agent process of the packet path.

The platform's adapter reads them from the settings file.
"""

import msgspec

from plantainyoke.network import Address


class FeatureSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Behaviour under hard load that operators can turn off.

    Attributes
    ----------
    failing_target_detection : bool
        Whether targets that fail requests get no new flows.
    expected_time_choice : bool
        Whether targets are compared by the expected time to an answer.
    lost_flow_probes : bool
        Whether an agent probes the flows of a target that has returned a packet of one.
    relay_through_third_zone : bool
        Whether a balancer sends packets through a third zone if an agent's zone cannot
        be reached directly.
    """

    failing_target_detection: bool = True
    expected_time_choice: bool = True
    lost_flow_probes: bool = True
    relay_through_third_zone: bool = True


ALL_FEATURES = FeatureSettings()


class ProcessSettings(msgspec.Struct, frozen=True):
    """Settings of one process of the packet path.

    Attributes
    ----------
    name : str
    host : int
        Address of the host, as an integer.
    ip : str
        Address of the host, as text.
    zone : str
    packet_address : Address
        Address at which a balancer receives packets of callers. Packets for a caller
        are sent to the same port.
    target_output_address : Address, optional
        Address at which an agent receives the packets that its target sends.
    target_address : Address, optional
        Address at which an agent's target receives packets.
    service : str
        Service of an agent's target at the start of the process.
    ready_address : Address
        Address of the readiness check.
    messages_port : int
        Port for datagrams and links between balancers and agents, the same on every
        host.
    seeds : tuple of int
        Hosts of a few balancers; the list may be stale.
    store_address : Address
        Address of the platform's store.
    is_bootstrap : bool
        Whether the whole system starts for the first time.
    heartbeat_s : float
        Interval in which targets renew their entries.
    grace_s : float
        Time between SIGTERM and SIGKILL.
    cold_overshoot_factor : float
        Multiple of a cold target's configured rate of new flows that is tolerated.
    cold_extra_flows_per_s : float
        New flows per second that are tolerated on top of that multiple.
    configuration_apply_s : float
        Time within which a published configuration is in force in every process.
    features : FeatureSettings
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
    configuration_apply_s: float
    features: FeatureSettings = ALL_FEATURES
