"""Whether an agent gives a new flow to its target.

The agent beside a target decides last, since what it knows of the target is newest.
"""

from collections import deque

import msgspec

from plantainyoke.catalogue import Catalogue, Target
from plantainyoke.flows import FlowRefusal
from plantainyoke.hashing import service_identifier
from plantainyoke.placement._work_time import WorkTimeEstimator

COLD_WINDOW_S = 1.05  # the allowance is stated for a second; packets may bunch up
TARGET_SILENT_S = 0.25  # a target accepts within a millisecond
AIM_SHARE = 0.8  # part of the wanted time that work and waiting may take
SILENT_RETRY_S = 0.5  # one flow in this time tries a silent target again


class ColdStartTolerance(msgspec.Struct, frozen=True):
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


class ColdStartLimiter:
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


class FlowAdmission(msgspec.Struct):
    """Admission of new flows to one target.

    Attributes
    ----------
    catalogue : Catalogue
    host : int
        The agent's own host.
    heartbeat_s : float
        Interval in which the target renews its entry.
    tolerance : ColdStartTolerance
    service : str
        Service of the target that the process was started beside, empty if unknown.
    leaving : bool
        Whether this process is stopping.
    cold_until : float
        Time up to which the target counts as cold whatever its entry says.
    unanswered_since : float
        First flow given to the target since it last answered, 0 if none is.
    work_time : WorkTimeEstimator
    """

    catalogue: Catalogue
    host: int
    heartbeat_s: float
    tolerance: ColdStartTolerance
    service: str = ""
    leaving: bool = False
    cold_until: float = 0.0
    unanswered_since: float = 0.0
    retried_at: float = 0.0
    cold_start_limiter: ColdStartLimiter = msgspec.field(
        default_factory=ColdStartLimiter
    )
    work_time: WorkTimeEstimator = msgspec.field(default_factory=WorkTimeEstimator)

    @property
    def target(self) -> Target | None:
        """The target beside this agent, None if it is not registered.

        An address that another service had before may still have that one's entry.
        """
        target = self.catalogue.target_by_host.get(self.host)
        if target is not None and self.service not in ("", target.service):
            return None
        return target

    def is_cold(self, now: float) -> bool:
        """Tell whether the target bears little load."""
        target = self.target
        return target is not None and (target.cold or now < self.cold_until)

    def record_zone_return(self, now: float) -> None:
        """Treat the target as cold until its entry had time to say so."""
        target = self.target
        if target is None:
            return
        limits = self.catalogue.services.get(target.service)
        cold_start_s = limits.cold_start_s if limits else 0.0
        self.cold_until = now + cold_start_s + 2 * self.heartbeat_s

    def record_first_packet(self, now: float) -> None:
        """Note that a flow's first packet went to the target."""
        if not self.unanswered_since:
            self.unanswered_since = now

    def record_target_packet(self) -> None:
        """Note that the target answered anything."""
        self.unanswered_since = 0.0

    def current_refusal(self, flows: int, now: float) -> FlowRefusal:
        """Return why every new flow is refused at the moment."""
        target = self.target
        if self.leaving:
            return FlowRefusal.LEAVING
        if target is None:
            return FlowRefusal.UNVERIFIED
        if target.draining:
            return FlowRefusal.DRAINING
        if target.zone in self.catalogue.zones_out:
            return FlowRefusal.ZONE_OUT
        if self.unanswered_since and now - self.unanswered_since > TARGET_SILENT_S:
            return FlowRefusal.SILENT
        limits = self.catalogue.services.get(target.service)
        if limits is not None and flows >= limits.max_flows:
            return FlowRefusal.FULL
        return FlowRefusal.NONE

    def admit_flow(
        self,
        service: int,
        flows: int,
        now: float,
        *,
        mostly_cold: bool,
        in_flight: int = 0,
        aim_s: float = 0.0,
    ) -> FlowRefusal:
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
        in_flight : int
            Flows whose callers wait for an answer.
        aim_s : float
            Time in which the caller wants an answer, 0 if none is stated.
        """
        refusal = self.current_refusal(flows, now)
        if refusal == FlowRefusal.SILENT and now - self.retried_at > SILENT_RETRY_S:
            self.retried_at = now
            refusal = FlowRefusal.NONE
        if refusal != FlowRefusal.NONE:
            return refusal
        target = self.target
        if service_identifier(target.service) != service:
            return FlowRefusal.SERVICE
        if aim_s and self._is_busy(target, in_flight, aim_s):
            return FlowRefusal.BUSY
        if self.is_cold(now) and not self._admit_cold(target, now, mostly_cold):
            return FlowRefusal.COLD
        return FlowRefusal.NONE

    def _is_busy(self, target: Target, in_flight: int, aim_s: float) -> bool:
        """Tell whether the answer to one more request would come too late.

        Load pattern: after an outage, or with too few targets, every admitted flow
        makes all answers later than callers want them. Flows beyond that are turned
        away at once, and those admitted are served in time.
        """
        if in_flight < target.slots:
            return False
        expected_s = self.work_time.estimate_answer_s(
            in_flight=in_flight, slots=target.slots
        )
        return expected_s > AIM_SHARE * aim_s

    def _admit_cold(self, target: Target, now: float, mostly_cold: bool) -> bool:
        limits = self.catalogue.services.get(target.service)
        rate = limits.cold_flows_per_s if limits else 0.0
        if mostly_cold and not rate:
            return True
        return self.cold_start_limiter.try_take(self.tolerance.limit(rate), now)
