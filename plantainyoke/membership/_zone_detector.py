"""Treats an availability zone as one unit when enough of it fails at once.

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
    """What this process believes of one zone.

    Attributes
    ----------
    answered_at : float
        Loop time of the last sign of life of any of its agents.
    sampled_at : float
        Loop time at which a sample of its agents was last probed.
    is_hinted, is_suspect : bool
        Whether another process suspects it, and whether this one does.
    suspects : set of int
        Its agents that this process's own probes found dead.
    """

    answered_at: float = float("-inf")
    sampled_at: float = float("-inf")
    is_hinted: bool = False
    is_suspect: bool = False
    suspects: set[int] = field(default_factory=set)


class ZoneFailureDetector:
    """Suspects whole zones, each process by its own probes.

    Another process's suspicion is only a hint to probe a sample: a zone that
    this process reaches stays in use, whoever else has lost it.

    Parameters
    ----------
    rng : random.Random
        Chooses the samples.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.statuses: dict[int, ZoneStatus] = {}
        self.is_any_suspect = False

    def is_suspect(self, zone: int) -> bool:
        """Tell whether new flows should avoid a zone."""
        status = self.statuses.get(zone)
        return status is not None and status.is_suspect

    def list_suspects(self) -> list[int]:
        """Return the suspected zones."""
        return [zone for zone, status in self.statuses.items() if status.is_suspect]

    def record_alive(self, zone: int, now: float) -> bool:
        """Note a sign of life; returns whether it ended a suspicion."""
        status = self._get_status(zone)
        status.answered_at = now
        was_suspect = status.is_suspect
        if was_suspect or status.is_hinted or status.suspects:
            status.is_suspect = status.is_hinted = False
            status.suspects.clear()
            self._update_any()
        return was_suspect

    def record_suspect(self, zone: int, agent: int) -> None:
        """Note that own probes found an agent dead."""
        self._get_status(zone).suspects.add(agent)

    def record_remote_suspicion(self, zone: int, now: float) -> None:
        """Note that another process suspects a zone."""
        status = self._get_status(zone)
        if now - status.answered_at > ZONE_SILENCE_S:
            status.is_hinted = True

    def sample_agents(
        self, now: float, agents_of: Mapping[int, list[int]]
    ) -> list[int]:
        """Return agents to probe in order to confirm or clear suspicions."""
        chosen: list[int] = []
        for zone, status in self.statuses.items():
            if not (status.is_hinted or status.is_suspect or self._is_doubted(status)):
                continue
            if now - status.sampled_at < RESAMPLE_INTERVAL_S:
                continue
            agents = agents_of.get(zone, [])
            status.sampled_at = now
            chosen += self.rng.sample(agents, min(SAMPLE_SIZE, len(agents)))
        return chosen

    def confirm_suspects(self, now: float) -> list[int]:
        """Suspect zones whose sample stayed silent; return the new ones."""
        suspected = []
        for zone, status in self.statuses.items():
            if status.is_suspect or not (status.is_hinted or self._is_doubted(status)):
                continue
            waited = now - status.sampled_at
            is_silent = now - status.answered_at > ZONE_SILENCE_S
            if SAMPLE_TIMEOUT_S <= waited < ZONE_SILENCE_S and is_silent:
                status.is_suspect = True
                suspected.append(zone)
        if suspected:
            self._update_any()
        return suspected

    def reset_after_pause(self) -> None:
        """Forget unconfirmed doubts after this process was paused."""
        for status in self.statuses.values():
            status.is_hinted = False
            status.suspects.clear()
            status.sampled_at = float("-inf")

    def _is_doubted(self, status: ZoneStatus) -> bool:
        return len(status.suspects) >= SUSPECTS_TO_SUSPECT_ZONE

    def _get_status(self, zone: int) -> ZoneStatus:
        return self.statuses.setdefault(zone, ZoneStatus())

    def _update_any(self) -> None:
        self.is_any_suspect = any(item.is_suspect for item in self.statuses.values())
