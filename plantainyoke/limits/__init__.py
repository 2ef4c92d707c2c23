"""Limits on concurrency, queues, rates and retries."""

from plantainyoke.limits._adaptive import AdaptiveLimit, LimitCause
from plantainyoke.limits._admission import Admission, Refusal, RefusalReason
from plantainyoke.limits._rate import DecayingRate
from plantainyoke.limits._retry import RetryBudget, full_jitter_backoff
from plantainyoke.limits._token_bucket import TokenBucket

__all__ = [
    "AdaptiveLimit",
    "Admission",
    "DecayingRate",
    "LimitCause",
    "Refusal",
    "RefusalReason",
    "RetryBudget",
    "TokenBucket",
    "full_jitter_backoff",
]
