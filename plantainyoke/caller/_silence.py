"""Detection of silent paths: those on which probes are unanswered.

A path that drops every packet reports no error, so a connection would notice only at
its idle timeout.
"""

import asyncio
from collections.abc import Awaitable

from plantainyoke.caller._errors import ConnectionLostError

REQUEST_PING_INTERVAL_S = 0.5
WATCH_PING_INTERVAL_S = 2.0
IDLE_PING_INTERVAL_S = 15.0
SILENCE_TIMEOUT_S = 1.6


class SilenceDetector:
    """Probe schedule and silence detection of one path.

    A path is silent only if a probe is unanswered. Without a probe it is idle, however
    long ago the last datagram arrived.

    Parameters
    ----------
    now : float
        Current monotonic time in seconds.

    Attributes
    ----------
    received_at : float
        Time of the last datagram.
    pinged_at : float
        Time of the last probe.
    unanswered_since : float or None
        Time of the first probe after the last datagram.
    """

    def __init__(self, now: float) -> None:
        self.received_at = now
        self.pinged_at = now
        self.unanswered_since: float | None = None

    def check_probe_due(
        self, now: float, *, received_at: float, interval_s: float
    ) -> bool:
        """Record the last datagram and return whether to send a probe now.

        Parameters
        ----------
        now : float
            Current monotonic time in seconds.
        received_at : float
            Time of the last datagram.
        interval_s : float
            Time without a datagram or probe after which to send a probe.

        Returns
        -------
        is_due : bool
            If True, the detector assumes that the probe is sent.
        """
        if received_at > self.received_at:
            self.received_at = received_at
            self.unanswered_since = None
        if now - max(self.received_at, self.pinged_at) < interval_s:
            return False
        self.pinged_at = now
        if self.unanswered_since is None:
            self.unanswered_since = now
        return True

    def is_silent(self, now: float) -> bool:
        """Return whether a probe is unanswered for ``SILENCE_TIMEOUT_S``."""
        return (
            self.unanswered_since is not None
            and now - self.unanswered_since >= SILENCE_TIMEOUT_S
        )


async def await_unless_silent(awaitable: Awaitable, silent: asyncio.Event):
    """Return the result of ``awaitable`` unless the path goes silent first.

    Raises
    ------
    ConnectionLostError
        If the path goes silent.
    """
    loop = asyncio.get_running_loop()
    answer_task = loop.create_task(awaitable)
    silence_task = loop.create_task(silent.wait())
    try:
        await asyncio.wait(
            [answer_task, silence_task], return_when=asyncio.FIRST_COMPLETED
        )
        if answer_task.done():
            return answer_task.result()
        raise ConnectionLostError
    finally:
        answer_task.cancel()
        silence_task.cancel()
