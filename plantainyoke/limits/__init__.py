"""Limits on concurrency, queues, rates and retries.

Agents use them to protect an upstream from more requests than it can serve, balancers
to limit the rate of first packets, and callers and agents to limit retries.
"""

from plantainyoke.limits._adaptive import AdaptiveConcurrencyLimit, LimitCause
from plantainyoke.limits._admission import (
    RefusalReason,
    RequestAdmission,
    RequestRefusedError,
)
from plantainyoke.limits._rate import DecayingRate
from plantainyoke.limits._retry import RetryBudget, draw_backoff_s
from plantainyoke.limits._token_bucket import TokenBucket

__all__ = [
    "AdaptiveConcurrencyLimit",
    "DecayingRate",
    "LimitCause",
    "RefusalReason",
    "RequestAdmission",
    "RequestRefusedError",
    "RetryBudget",
    "TokenBucket",
    "draw_backoff_s",
]
