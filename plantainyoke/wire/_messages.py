"""Typed messages carried in datagram envelopes.

Addresses are packed: ``ip << 16 | port`` as an integer.
"""

from dataclasses import dataclass, field
from enum import IntEnum


class TargetState(IntEnum):
    """State that an agent reports for its upstream."""

    SERVING = 0
    COLD = 1
    FULL = 2
    LEAVING = 3
    DOWN = 4


class Condition(IntEnum):
    """Reachability of an agent as seen by a balancer."""

    ALIVE = 0
    SUSPECT = 1


@dataclass(slots=True)
class Forward:
    """A caller's datagram that a balancer or an agent forwards to an agent.

    Attributes
    ----------
    caller, balancer : int
        Packed addresses of the caller and of the balancer that returns answers.
    service : int
        Identifier of the service whose address received the datagram.
    hop : int
        Number of agents that have forwarded the datagram.
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
    """An agent's datagram that a balancer forwards to a caller.

    Attributes
    ----------
    caller : int
        Packed address of the caller.
    service : int
        Identifier of the service from whose address the datagram is sent.
    payload : bytes
        The QUIC datagram.
    """

    caller: int
    service: int
    payload: bytes


@dataclass(slots=True)
class Probe:
    """A request for an acknowledgement.

    Attributes
    ----------
    nonce : int
        Returned in the answer.
    from_balancer : bool
        Whether the sender is a balancer; otherwise it is an agent.
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
    nonce : int
        Nonce of the probe.
    incarnation : int
        Identifies the run of the agent and its idempotency records; 0 from a balancer.
    state : TargetState
    connections : int
        Open connections of callers.
    in_flight, limit, queued : int
        Requests in flight, the concurrency limit, and requests queued for admission.
    liveness : int
        Number that the sender raises to refute a suspicion; 0 from a balancer.
    served_rate : float
        Requests per second that the upstream served recently.
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
    """One status change of an agent.

    Attributes
    ----------
    target : int
        Packed address of the agent.
    liveness : int
        Liveness number of the agent that the change refers to.
    condition : Condition
    """

    target: int
    liveness: int
    condition: Condition


@dataclass(slots=True)
class Gossip:
    """A bounded batch of status changes.

    Attributes
    ----------
    updates : list of Update
    zones : list of int
        Zones that the sender suspects as a whole.
    """

    updates: list[Update]
    zones: list[int] = field(default_factory=list)
