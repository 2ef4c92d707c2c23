"""Detection of failed availability zones by one balancer.

When several agents of a zone fail at once, or another balancer suspects the zone, a
balancer probes a sample of its agents and suspects the whole zone if the sample does
not answer. New flows then avoid all agents of the zone in one step.

References
----------
Wolf, Balasubramanian, Gokhale and Schmidt, "Component Replication based on
Failover Units", 2009: dependent components fail over in one step instead of one
after the other. Here a zone's agents are the unit; only new flows are concerned.
"""

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

SUSPECTS_TO_SUSPECT_ZONE = 3
ZONE_SILENCE_S = 1.0
SAMPLE_SIZE = 3
SAMPLE_TIMEOUT_S = 0.5
RESAMPLE_INTERVAL_S = 1.0


@dataclass(slots=True)
class ZoneStatus:
    """Status of one zone as this process sees it.

    Attributes
    ----------
    answered_at : float
        Loop time of the last datagram from any of its agents, in seconds.
    sampled_at : float
        Loop time at which a sample of its agents was last probed, in seconds.
    is_suspected_remotely : bool
        Whether another process suspects the zone and no agent of it has answered
        this process since.
    is_suspect : bool
        Whether this process suspects the zone.
    suspects : set of int
        Agents of the zone that this process suspects because of its probes.
    """

    answered_at: float = float("-inf")
    sampled_at: float = float("-inf")
    is_suspected_remotely: bool = False
    is_suspect: bool = False
    suspects: set[int] = field(default_factory=set)


class ZoneFailureDetector:
    """Suspects whole zones on the evidence of this process's probes.

    A suspicion of another process only causes a sample to be probed: a zone that this
    process reaches stays in use, even if other processes cannot reach it.

    Parameters
    ----------
    rng : random.Random
        Source of randomness for the samples.

    Attributes
    ----------
    statuses : dict of int to ZoneStatus
        Status by zone identifier.
    is_any_suspect : bool
        Whether at least one zone is suspected.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.statuses: dict[int, ZoneStatus] = {}
        self.is_any_suspect = False

    def is_suspect(self, zone: int) -> bool:
        """Return whether new flows should avoid a zone."""
        status = self.statuses.get(zone)
        return status is not None and status.is_suspect

    def list_suspects(self) -> list[int]:
        """Return the identifiers of the suspected zones."""
        return [zone for zone, status in self.statuses.items() if status.is_suspect]

    def record_alive(self, zone: int, now: float) -> bool:
        """Record a datagram from an agent of a zone.

        Returns
        -------
        bool
            Whether this ended a suspicion of the zone.
        """
        status = self._get_status(zone)
        status.answered_at = now
        was_suspect = status.is_suspect
        if was_suspect or status.is_suspected_remotely or status.suspects:
            status.is_suspect = status.is_suspected_remotely = False
            status.suspects.clear()
            self._update_is_any_suspect()
        return was_suspect

    def record_suspect(self, zone: int, agent: int) -> None:
        """Record that an agent did not answer the probes of this process."""
        self._get_status(zone).suspects.add(agent)

    def record_remote_suspicion(self, zone: int, now: float) -> None:
        """Record that another process suspects a zone.

        The suspicion is ignored if a datagram from the zone arrived within the last
        ``ZONE_SILENCE_S`` seconds.
        """
        status = self._get_status(zone)
        if now - status.answered_at > ZONE_SILENCE_S:
            status.is_suspected_remotely = True

    def sample_agents(
        self, now: float, agents_by_zone: Mapping[int, list[int]]
    ) -> list[int]:
        """Return agents to probe in order to confirm or clear suspicions.

        Parameters
        ----------
        now : float
            Loop time in seconds.
        agents_by_zone : mapping of int to list of int
            Packed agent addresses by zone identifier.

        Returns
        -------
        list of int
            At most ``SAMPLE_SIZE`` agents of each zone to check.
        """
        chosen: list[int] = []
        for zone, status in self.statuses.items():
            if not (
                status.is_suspected_remotely
                or status.is_suspect
                or self._has_enough_suspects(status)
            ):
                continue
            if now - status.sampled_at < RESAMPLE_INTERVAL_S:
                continue
            agents = agents_by_zone.get(zone, [])
            status.sampled_at = now
            chosen += self.rng.sample(agents, min(SAMPLE_SIZE, len(agents)))
        return chosen

    def confirm_suspects(self, now: float) -> list[int]:
        """Suspect the zones whose sample did not answer; return the newly suspected."""
        suspected = []
        for zone, status in self.statuses.items():
            if status.is_suspect or not (
                status.is_suspected_remotely or self._has_enough_suspects(status)
            ):
                continue
            sample_age_s = now - status.sampled_at
            is_silent = now - status.answered_at > ZONE_SILENCE_S
            if SAMPLE_TIMEOUT_S <= sample_age_s < ZONE_SILENCE_S and is_silent:
                status.is_suspect = True
                suspected.append(zone)
        if suspected:
            self._update_is_any_suspect()
        return suspected

    def reset_after_pause(self) -> None:
        """Discard unconfirmed suspicions after a pause of this process."""
        for status in self.statuses.values():
            status.is_suspected_remotely = False
            status.suspects.clear()
            status.sampled_at = float("-inf")

    def _has_enough_suspects(self, status: ZoneStatus) -> bool:
        return len(status.suspects) >= SUSPECTS_TO_SUSPECT_ZONE

    def _get_status(self, zone: int) -> ZoneStatus:
        return self.statuses.setdefault(zone, ZoneStatus())

    def _update_is_any_suspect(self) -> None:
        self.is_any_suspect = any(
            status.is_suspect for status in self.statuses.values()
        )
