"""Retry budgets and backoff."""

import random

DEPOSIT_PER_REQUEST = 0.04  # at caller and agent: 1.04 x 1.04 stays below 1.1
INITIAL_TOKENS = 2.0
MAX_TOKENS = 10.0
BASE_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0


class RetryBudget:
    """Allows retries as a share of the requests made.

    Parameters
    ----------
    deposit : float, default=0.04
        Retries earned by one request.
    capacity : float, default=10.0
        Most retries that can be saved up.
    initial : float, default=2.0
        Retries that can be spent before any is earned.
    """

    def __init__(
        self,
        *,
        deposit: float = DEPOSIT_PER_REQUEST,
        capacity: float = MAX_TOKENS,
        initial: float = INITIAL_TOKENS,
    ) -> None:
        self.deposit = deposit
        self.capacity = capacity
        self.tokens = min(initial, capacity)

    def record_request(self) -> None:
        """Earn the deposit of one first attempt."""
        self.tokens = min(self.capacity, self.tokens + self.deposit)

    def try_acquire(self) -> bool:
        """Take one retry from the budget if there is one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def draw_backoff_s(
    attempt: int, rng: random.Random, *, minimum_s: float = 0.0
) -> float:
    """Return a delay in seconds before retry number ``attempt`` (from 0).

    Parameters
    ----------
    attempt : int
    rng : random.Random
    minimum_s : float, default=0.0
        Retry-After of the refusal; the jitter is added on top.
    """
    ceiling = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2**attempt)
    return minimum_s + rng.uniform(0.0, ceiling)
