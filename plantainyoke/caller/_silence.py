"""Notices that nothing comes back on a path."""

import asyncio
from collections.abc import Awaitable

from plantainyoke.caller._errors import ConnectionLostError

REQUEST_PING_INTERVAL_S = 0.5
WATCH_PING_INTERVAL_S = 2.0
IDLE_PING_INTERVAL_S = 15.0
SILENCE_S = 1.6


class SilenceDetector:
    """Decides when to probe a path and when it counts as silent.

    A path is silent only if a probe has stayed unanswered: a path on which
    nothing was asked is idle.

    Parameters
    ----------
    now : float
        Current monotonic time in seconds.

    Attributes
    ----------
    asked_at : float or None
        Time of the first probe since anything was received.
    """

    def __init__(self, now: float) -> None:
        self.received_at = now
        self.pinged_at = now
        self.asked_at: float | None = None

    def check(self, now: float, *, received_at: float, interval_s: float) -> bool:
        """Take over what was received and tell whether to send a probe.

        Parameters
        ----------
        now : float
        received_at : float
            Time of the last datagram.
        interval_s : float
            Time without a datagram after which to probe.
        """
        if received_at > self.received_at:
            self.received_at = received_at
            self.asked_at = None
        if now - max(self.received_at, self.pinged_at) < interval_s:
            return False
        self.pinged_at = now
        if self.asked_at is None:
            self.asked_at = now
        return True

    def is_silent(self, now: float) -> bool:
        """Tell whether a probe has stayed unanswered for too long."""
        return self.asked_at is not None and now - self.asked_at >= SILENCE_S


async def unless_silent(awaitable: Awaitable, silent: asyncio.Event):
    """Return the awaitable's result unless the path goes silent first.

    Raises
    ------
    ConnectionLostError
        If the path goes silent.
    """
    loop = asyncio.get_running_loop()
    answer = loop.create_task(awaitable)
    silence = loop.create_task(silent.wait())
    try:
        await asyncio.wait([answer, silence], return_when=asyncio.FIRST_COMPLETED)
        if answer.done():
            return answer.result()
        raise ConnectionLostError
    finally:
        answer.cancel()
        silence.cancel()
