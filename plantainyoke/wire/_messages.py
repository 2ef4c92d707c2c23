"""Typed messages carried in datagram envelopes."""

from dataclasses import dataclass, field
from enum import IntEnum


class TargetState(IntEnum):
    """What an agent says of its upstream."""

    SERVING = 0
    COLD = 1
    FULL = 2
    LEAVING = 3
    DOWN = 4


class Condition(IntEnum):
    """What a balancer believes of an agent."""

    ALIVE = 0
    SUSPECT = 1


@dataclass(slots=True)
class Forward:
    """A caller's datagram on its way from a balancer to an agent.

    Attributes
    ----------
    caller, balancer : int
        Packed addresses of the caller and of the balancer that returns answers.
    service : int
        Identifier of the service whose address the datagram came in on.
    hop : int
        Number of agents that passed the datagram on.
    alternates : list of int
        Packed addresses of the remaining agents, in order of preference.
    payload : bytes
        The QUIC datagram.
    """

    caller: int
    service: int
    balancer: int
    hop: int
    alternates: list[int]
    payload: bytes


@dataclass(slots=True)
class Reply:
    """An agent's datagram on its way to a caller."""

    caller: int
    service: int
    payload: bytes


@dataclass(slots=True)
class Probe:
    """A request for an acknowledgement.

    Attributes
    ----------
    nonce : int
    from_balancer : bool
    suspected_liveness : int
        Liveness number at which the receiver is suspected, 0 if it is not.
    """

    nonce: int
    from_balancer: bool
    suspected_liveness: int = 0


@dataclass(slots=True)
class ProbeAck:
    """A process's state and load in answer to a probe.

    Attributes
    ----------
    incarnation : int
        Identifies the run of the process and its idempotency records.
    liveness : int
        Number that the sender raises to refute a suspicion.
    served_rate : float
        Requests a second that the upstream served lately.
    """

    nonce: int
    incarnation: int
    state: TargetState
    connections: int
    in_flight: int
    limit: int
    queued: int
    liveness: int = 0
    served_rate: float = 0.0


@dataclass(slots=True)
class Update:
    """One change of belief about an agent."""

    target: int
    liveness: int
    condition: Condition


@dataclass(slots=True)
class Gossip:
    """A bounded batch of changes of belief.

    Attributes
    ----------
    updates : list of Update
    zones : list of int
        Zones that the sender suspects as a whole.
    """

    updates: list[Update]
    zones: list[int] = field(default_factory=list)
