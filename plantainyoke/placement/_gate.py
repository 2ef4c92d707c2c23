"""Whether an agent gives a new flow to its target.

The agent beside a target decides last, since what it knows of the target is newest.
"""

from collections import deque

import msgspec

from plantainyoke.catalogue import Catalogue, Target
from plantainyoke.flows import Refusal
from plantainyoke.hashing import service_identifier
from plantainyoke.placement._pace import WorkPace

COLD_WINDOW_S = 1.05  # the allowance is stated for a second; packets may bunch up
SILENT_S = 0.25  # a target accepts within a millisecond
AIM_SHARE = 0.8  # part of the wanted time that work and waiting may take
SILENT_RETRY_S = 0.5  # one flow in this time tries a silent target again


class ColdTolerance(msgspec.Struct, frozen=True):
    """By how much the stated rate of a cold target may be exceeded.

    Attributes
    ----------
    factor : float
    extra_per_s : float
    """

    factor: float = 1.0
    extra_per_s: float = 1.0

    def limit(self, rate_per_s: float) -> int:
        """Return how many new flows a cold target may get in a second.

        One less than is tolerated, since a flow counts when it arrives.
        """
        return max(1, int(rate_per_s * self.factor + self.extra_per_s) - 1)


class ColdAllowance:
    """Counts the new flows of a target in cold start.

    Load pattern: a target that starts, or a whole zone of them that returns, gets
    every new flow at once because it is the least loaded.
    """

    def __init__(self) -> None:
        self.admitted: deque[float] = deque()

    def try_take(self, limit: int, now: float) -> bool:
        """Admit one flow if fewer than the limit were admitted in the last second."""
        admitted = self.admitted
        while admitted and now - admitted[0] >= COLD_WINDOW_S:
            admitted.popleft()
        if len(admitted) >= limit:
            return False
        admitted.append(now)
        return True


class Gate(msgspec.Struct):
    """Admission of new flows to one target.

    Attributes
    ----------
    catalogue : Catalogue
    host : int
        The agent's own host.
    heartbeat_s : float
        Interval in which the target renews its entry.
    tolerance : ColdTolerance
    service : str
        Service of the target that the process was started beside, empty if unknown.
    leaving : bool
        Whether this process is stopping.
    cold_until : float
        Time up to which the target counts as cold whatever its entry says.
    unanswered_since : float
        First flow given to the target since it last answered, 0 if none is.
    pace : WorkPace
    """

    catalogue: Catalogue
    host: int
    heartbeat_s: float
    tolerance: ColdTolerance
    service: str = ""
    leaving: bool = False
    cold_until: float = 0.0
    unanswered_since: float = 0.0
    retried_at: float = 0.0
    allowance: ColdAllowance = msgspec.field(default_factory=ColdAllowance)
    pace: WorkPace = msgspec.field(default_factory=WorkPace)

    @property
    def target(self) -> Target | None:
        """The target beside this agent, None if it is not registered.

        An address that another service had before may still have that one's entry.
        """
        target = self.catalogue.by_host.get(self.host)
        if target is not None and self.service not in ("", target.service):
            return None
        return target

    def is_cold(self, now: float) -> bool:
        """Tell whether the target bears little load."""
        target = self.target
        return target is not None and (target.cold or now < self.cold_until)

    def note_zone_returned(self, now: float) -> None:
        """Treat the target as cold until its entry had time to say so."""
        target = self.target
        if target is None:
            return
        limits = self.catalogue.services.get(target.service)
        cold_start_s = limits.cold_start_s if limits else 0.0
        self.cold_until = now + cold_start_s + 2 * self.heartbeat_s

    def note_sent(self, now: float) -> None:
        """Note that a flow's first packet went to the target."""
        if not self.unanswered_since:
            self.unanswered_since = now

    def note_answered(self) -> None:
        """Note that the target answered anything."""
        self.unanswered_since = 0.0

    def standing_refusal(self, flows: int, now: float) -> Refusal:
        """Return why every new flow is refused at the moment."""
        target = self.target
        if self.leaving:
            return Refusal.LEAVING
        if target is None:
            return Refusal.UNVERIFIED
        if target.draining:
            return Refusal.DRAINING
        if target.zone in self.catalogue.zones_out:
            return Refusal.ZONE_OUT
        if self.unanswered_since and now - self.unanswered_since > SILENT_S:
            return Refusal.SILENT
        limits = self.catalogue.services.get(target.service)
        if limits is not None and flows >= limits.max_flows:
            return Refusal.FULL
        return Refusal.NONE

    def check_open(
        self,
        service: int,
        flows: int,
        now: float,
        *,
        mostly_cold: bool,
        waiting: int = 0,
        aim_s: float = 0.0,
    ) -> Refusal:
        """Decide on one new flow; an admitted one counts towards the allowance.

        Parameters
        ----------
        service : int
            Identifier of the service to which the flow was routed.
        flows : int
            Flows that the target holds.
        now : float
        mostly_cold : bool
            Whether half of the service's targets are cold. Somebody has to take the
            first load, so a service that states no rate then has no limit.
        waiting : int
            Flows whose callers wait for an answer.
        aim_s : float
            Time in which the caller wants an answer, 0 if none is stated.
        """
        refusal = self.standing_refusal(flows, now)
        if refusal == Refusal.SILENT and now - self.retried_at > SILENT_RETRY_S:
            self.retried_at = now
            refusal = Refusal.NONE
        if refusal != Refusal.NONE:
            return refusal
        target = self.target
        if service_identifier(target.service) != service:
            return Refusal.SERVICE
        if aim_s and self._is_busy(target, waiting, aim_s):
            return Refusal.BUSY
        if self.is_cold(now) and not self._admit_cold(target, now, mostly_cold):
            return Refusal.COLD
        return Refusal.NONE

    def _is_busy(self, target: Target, waiting: int, aim_s: float) -> bool:
        """Tell whether the answer to one more request would come too late.

        Load pattern: after an outage, or with too few targets, every admitted flow
        makes all answers later than callers want them. Flows beyond that are turned
        away at once, and those admitted are served in time.
        """
        if waiting < target.slots:
            return False
        expected_s = self.pace.expected_s(waiting=waiting, slots=target.slots)
        return expected_s > AIM_SHARE * aim_s

    def _admit_cold(self, target: Target, now: float, mostly_cold: bool) -> bool:
        limits = self.catalogue.services.get(target.service)
        rate = limits.cold_flows_per_s if limits else 0.0
        if mostly_cold and not rate:
            return True
        return self.allowance.try_take(self.tolerance.limit(rate), now)
