"""A token bucket rate limit."""


class TokenBucket:
    """Limits the rate of events and allows a bounded burst.

    Parameters
    ----------
    rate_per_s : float
        Tokens added per second.
    burst : float
        Maximum number of tokens, which the bucket also holds at the start.
    now : float
        Current monotonic time in seconds.
    """

    def __init__(self, *, rate_per_s: float, burst: float, now: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = burst
        self.updated_at = now

    def try_acquire(self, now: float) -> bool:
        """Take one token; return whether there was one."""
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = now
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate_per_s)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
