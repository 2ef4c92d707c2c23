"""The agent role: ends callers' connections and runs their requests."""

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
