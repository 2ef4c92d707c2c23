"""Admission of new flows by the agent beside a target.

The agent makes the final decision on a new flow because its view of the target is the
most recent. It refuses a flow, for example, while the target is draining, full, silent
or busy, or if a target in cold start has reached its rate of new flows.
"""

from collections import deque

import msgspec

from plantainyoke.catalogue import Catalogue, Target
from plantainyoke.flows import FlowRefusal
from plantainyoke.hashing import compute_service_id
from plantainyoke.outliers import EjectionState
from plantainyoke.placement._work_time import WorkTimeEstimator

COLD_WINDOW_S = 1.05  # above the 1 s of the configured rate: packets may bunch up
TARGET_SILENT_S = 0.25  # a responsive target accepts within a millisecond
# Requests per slot that a target gets: one at work, and one that is on its way or
# begins when the first ends.
QUEUED_SHARE = 2
SILENT_RETRY_INTERVAL_S = 0.5  # one flow per interval probes a silent target
# A target that answers again after this time may have restarted. It is above the gap
# between ticks that counts as a pause of the agent itself.
RESTART_SILENCE_S = 0.8


class ColdStartTolerance(msgspec.Struct, frozen=True):
    """Margin by which new flows may exceed the configured rate of a cold target.

    Attributes
    ----------
    factor : float
        Multiple of the configured rate that is tolerated.
    extra_per_s : float
        New flows per second that are tolerated on top of that multiple.
    """

    factor: float = 1.0
    extra_per_s: float = 1.0

    def compute_limit(self, rate_per_s: float) -> int:
        """Return the number of new flows that a cold target may get in a second.

        This is one fewer than the tolerance permits, because a flow is counted when
        it arrives.
        """
        return max(1, int(rate_per_s * self.factor + self.extra_per_s) - 1)


class ColdStartLimiter:
    """Limits the rate of new flows to a target in cold start.

    Load pattern: a target that starts, or each target of a zone that returns, is the
    least loaded one and would receive every new flow at once. The limiter admits a
    fixed number of them in a sliding window of `COLD_WINDOW_S`. Flows that the target
    got before it was known to be cold count as well.

    Attributes
    ----------
    admitted : deque of float
        Times of the flows in the window, in seconds.
    blocked_until : float
        Time until which no flow is admitted, because an earlier process may have
        admitted some that are not known here.
    """

    def __init__(self) -> None:
        self.admitted: deque[float] = deque()
        self.blocked_until = 0.0

    def record(self, now: float) -> None:
        """Record a flow that the target got."""
        self._remove_expired(now)
        self.admitted.append(now)

    def try_acquire(self, limit: int, now: float) -> bool:
        """Admit one flow if fewer than `limit` were admitted in the current window.

        Parameters
        ----------
        limit : int
            Flows that may be admitted in `COLD_WINDOW_S`.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether the flow is admitted.
        """
        self._remove_expired(now)
        if len(self.admitted) >= limit or now < self.blocked_until:
            return False
        self.admitted.append(now)
        return True

    def _remove_expired(self, now: float) -> None:
        while self.admitted and now - self.admitted[0] >= COLD_WINDOW_S:
            self.admitted.popleft()


class FlowAdmission(msgspec.Struct):
    """Admission of new flows to one target.

    Attributes
    ----------
    catalogue : Catalogue
        View from which the target's entry, its service's limits and the zones that
        are out are read.
    host : int
        Address of the agent's host, as an integer.
    heartbeat_s : float
        Interval in which the target renews its entry.
    tolerance : ColdStartTolerance
    service : str
        Service of the target at the start of this process, empty if unknown.
    is_leaving : bool
        Whether this process is stopping.
    cold_until : float
        Time until which the target counts as cold regardless of its entry, because its
        zone was restored.
    restarted_at : float
        Time at which the latest restart of the target was noticed.
    restart_cold_until : float
        Time until which the target counts as cold because it seems to have restarted,
        which its entry does not state yet.
    unanswered_since : float
        Time of the earliest first packet sent to the target since the target last
        sent a packet, 0 if there is none.
    retried_at : float
        Time at which a flow was last admitted to probe a silent target.
    cold_start_limiter : ColdStartLimiter
    work_time : WorkTimeEstimator
    ejection : EjectionState
        Whether the target is ejected because it fails requests.
    """

    catalogue: Catalogue
    host: int
    heartbeat_s: float
    tolerance: ColdStartTolerance
    service: str = ""
    is_leaving: bool = False
    cold_until: float = 0.0
    restarted_at: float = float("-inf")
    restart_cold_until: float = 0.0
    unanswered_since: float = 0.0
    retried_at: float = 0.0
    cold_start_limiter: ColdStartLimiter = msgspec.field(
        default_factory=ColdStartLimiter
    )
    work_time: WorkTimeEstimator = msgspec.field(default_factory=WorkTimeEstimator)
    ejection: EjectionState = msgspec.field(default_factory=EjectionState)

    @property
    def target(self) -> Target | None:
        """Target beside this agent, None if it is not registered.

        An entry of another service is ignored: it is stale and remains from an
        earlier target at the same address.
        """
        target = self.catalogue.target_by_host.get(self.host)
        if target is not None and self.service not in ("", target.service):
            return None
        return target

    def is_cold(self, now: float) -> bool:
        """Return whether the target is in cold start."""
        target = self.target
        return target is not None and (
            target.cold or now < max(self.cold_until, self.restart_cold_until)
        )

    def record_zone_return(self, now: float) -> None:
        """Treat the target as cold after its zone was restored.

        The period covers the cold start and two heartbeats, in which the target's
        entry is renewed and then reports whether the target is cold.
        """
        if self.target is not None:
            self.cold_until = now + self._get_cold_period_s()

    def record_restart(self, now: float) -> None:
        """Treat the target as cold, because it behaves as after a restart.

        Load pattern: a target that crashed serves again before its new entry arrives.
        It is idle then, and would get every new flow.
        """
        self.restarted_at = now
        if self.target is not None:
            self.restart_cold_until = now + self._get_cold_period_s()

    def record_lost_flow(self, opened_at: float, now: float) -> None:
        """Record that the target lost a flow, unless a known restart explains it."""
        if opened_at > self.restarted_at:
            self.record_restart(now)

    def record_new_entry(self, now: float) -> None:
        """Rely on the entry of a new incarnation, which states whether it is cold."""
        self.restarted_at = now
        self.restart_cold_until = 0.0

    def _get_cold_period_s(self) -> float:
        """Return the time of a cold start, and that in which an entry is renewed."""
        limits = self.catalogue.services.get(self.target.service)
        cold_start_s = limits.cold_start_s if limits else 0.0
        return cold_start_s + 2 * self.heartbeat_s

    def record_first_packet(self, now: float) -> None:
        """Record that a flow's first packet was sent to the target."""
        if not self.unanswered_since:
            self.unanswered_since = now

    def record_target_packet(self, now: float) -> None:
        """Record that the target sent a packet, which proves it responsive."""
        if self.unanswered_since and now - self.unanswered_since > RESTART_SILENCE_S:
            self.record_restart(now)
        self.unanswered_since = 0.0

    def record_pause(self) -> None:
        """Forget what the target did not answer, because this process was paused."""
        self.unanswered_since = 0.0

    def current_refusal(self, flows: int, now: float) -> FlowRefusal:
        """Return the reason for which every new flow is refused now.

        Parameters
        ----------
        flows : int
            Flows that the target holds.
        now : float
            Current time in seconds.

        Returns
        -------
        FlowRefusal
            NONE if new flows are not refused in general.
        """
        target = self.target
        if self.is_leaving:
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
        if self.ejection.is_failing and not self.ejection.is_trial_due(now):
            return FlowRefusal.FAILING
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
        is_idempotent: bool = False,
        ignore_failing: bool = False,
    ) -> FlowRefusal:
        """Admit or refuse one new flow.

        A flow that is admitted to a cold target counts towards the limit of its cold
        start.

        Parameters
        ----------
        service : int
            Identifier of the service to which the flow was routed.
        flows : int
            Flows that the target holds.
        now : float
            Current time in seconds.
        mostly_cold : bool
            Whether at least half of the service's targets are in cold start. A
            service without a configured rate then has no limit, because its cold
            targets have to serve the first load.
        in_flight : int
            Flows whose callers wait for an answer.
        aim_s : float
            Time in which the route's callers expect an answer, 0 if unspecified.
        is_idempotent : bool
            Whether the flow may try a failing target, because its caller repeats
            requests.
        ignore_failing : bool
            Whether the balancer sees too many failing targets to avoid them.

        Returns
        -------
        FlowRefusal
            NONE if the flow is admitted.
        """
        refusal = self.current_refusal(flows, now)
        if ignore_failing:
            self.ejection.record_ignored(now)
            if refusal == FlowRefusal.FAILING:
                refusal = FlowRefusal.NONE
        if (
            refusal == FlowRefusal.SILENT
            and now - self.retried_at > SILENT_RETRY_INTERVAL_S
        ):
            self.retried_at = now
            refusal = FlowRefusal.NONE
        if refusal != FlowRefusal.NONE:
            return refusal
        target = self.target
        if compute_service_id(target.service) != service:
            return FlowRefusal.SERVICE
        if self.ejection.is_failing and not (
            is_idempotent or ignore_failing or self.ejection.is_trial_overdue(now)
        ):
            return FlowRefusal.FAILING
        if aim_s and in_flight >= self.max_in_flight:
            return FlowRefusal.BUSY
        if self.is_cold(now) and not self._admit_to_cold_target(
            target, now, mostly_cold
        ):
            return FlowRefusal.COLD
        if not self.is_cold(now):
            self.cold_start_limiter.record(now)
        return FlowRefusal.NONE

    @property
    def max_in_flight(self) -> int:
        """Requests in flight from which on the target gets no further flow.

        Load pattern: in a burst, requests that queue inside the target are served in
        the order of arrival, and those that are late already make the later ones late
        as well. What is beyond this limit waits at the agent, or goes to another one.
        """
        return QUEUED_SHARE * (self.target.slots if self.target else 1)

    def estimate_answer_s(self, in_flight: int) -> float:
        """Return the expected time to the answer of one more request.

        Parameters
        ----------
        in_flight : int
            Flows whose callers wait for an answer.

        Returns
        -------
        float
            Time in seconds.
        """
        slots = self.target.slots if self.target else 1
        return self.work_time.estimate_answer_s(in_flight=in_flight, slots=slots)

    def _has_other_targets(self, target: Target) -> bool:
        """Return whether another target of the service may receive new flows."""
        eligible = self.catalogue.list_eligible_targets(target.service)
        return any(other.host != target.host for other in eligible)

    def _admit_to_cold_target(
        self, target: Target, now: float, mostly_cold: bool
    ) -> bool:
        limits = self.catalogue.services.get(target.service)
        rate = limits.cold_flows_per_s if limits else 0.0
        # Balancers count a target as cold by its entry; if only this agent knows that
        # it is, they do not know whether all targets of the service are.
        must_serve = mostly_cold or not (target.cold or self._has_other_targets(target))
        if must_serve and not rate:
            self.cold_start_limiter.record(now)
            return True
        return self.cold_start_limiter.try_acquire(
            self.tolerance.compute_limit(rate), now
        )
