"""Packets of unknown flows that an agent sent to its target.

The target returns those of flows that it does not hold.
"""

import msgspec

from plantainyoke.flows import FlowKey, Ingress

TARGET_PROBE_TIMEOUT_S = 2.0  # a target returns a packet within milliseconds


class TargetProbe(msgspec.Struct):
    """A packet sent to the target to find out whether it holds the flow.

    Attributes
    ----------
    requester : int
        Host that sent the packet to this agent.
    ingress : Ingress
    sent_at : float
        Time at which the packet was sent to the target, in seconds.
    is_search : bool
        Whether the packet came in PROBE, so that a denial does not return it.
    """

    requester: int
    ingress: Ingress
    sent_at: float
    is_search: bool


def expire_target_probes(probes: dict[FlowKey, TargetProbe], now: float) -> None:
    """Remove the entries of packets that the target has not returned in time."""
    stale = [
        flow
        for flow, probe in probes.items()
        if now - probe.sent_at > TARGET_PROBE_TIMEOUT_S
    ]
    for flow in stale:
        del probes[flow]
