"""The agent role of the QUIC path, one agent beside each upstream.

An agent terminates the QUIC connections that balancers forward, runs their HTTP/3
requests on its upstream over HTTP/1.1 or relays them to another agent of the service,
and reports to the caller whether each request ran. It runs a request with an
idempotency key at most once.
"""

from plantainyoke.agent._agent import Agent, start_agent
from plantainyoke.agent._messages import (
    Answer,
    AnswerCutError,
    AnswerNotKeptError,
    KeyReusedError,
    OutcomeUnknownError,
    Request,
    ResumeQuery,
)
from plantainyoke.agent._records import IdempotencyRecords, RecordState

__all__ = [
    "Agent",
    "Answer",
    "AnswerCutError",
    "AnswerNotKeptError",
    "IdempotencyRecords",
    "KeyReusedError",
    "OutcomeUnknownError",
    "RecordState",
    "Request",
    "ResumeQuery",
    "start_agent",
]
