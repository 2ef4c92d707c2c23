"""Retry budgets and backoff.

Callers and agents use them to keep retries a small share of all requests, so that
retries do not overload upstreams that already fail.
"""

import random

# Callers and agents both retry: 1.04 x 1.04 keeps the total below 1.1 attempts per
# request.
DEPOSIT_PER_REQUEST = 0.04
INITIAL_TOKENS = 2.0
MAX_TOKENS = 10.0
BASE_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0


class RetryBudget:
    """Limits retries to a share of the first attempts.

    Parameters
    ----------
    deposit : float, default=0.04
        Retries added to the budget by one request.
    capacity : float, default=10.0
        Maximum number of retries in the budget.
    initial : float, default=2.0
        Retries in the budget at the start.
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
        """Add the deposit of one first attempt to the budget."""
        self.tokens = min(self.capacity, self.tokens + self.deposit)

    def try_acquire(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def draw_backoff_s(
    attempt: int, rng: random.Random, *, minimum_s: float = 0.0
) -> float:
    """Return a random exponential backoff delay in seconds.

    Parameters
    ----------
    attempt : int
        Number of the retry, from 0.
    rng : random.Random
    minimum_s : float, default=0.0
        Retry-After of the refusal in seconds; the jitter is added to it.
    """
    max_jitter_s = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2**attempt)
    return minimum_s + rng.uniform(0.0, max_jitter_s)
