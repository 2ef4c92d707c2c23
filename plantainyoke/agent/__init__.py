"""The agent role: ends callers' connections and runs their requests."""

from plantainyoke.agent._agent import Agent, run_agent
from plantainyoke.agent._messages import (
    Answer,
    AnswerCutError,
    AnswerNotKeptError,
    KeyReusedError,
    OutcomeUnknownError,
    Request,
    Resume,
)
from plantainyoke.agent._records import OnceRecords, RecordState

__all__ = [
    "Agent",
    "Answer",
    "AnswerCutError",
    "AnswerNotKeptError",
    "KeyReusedError",
    "OnceRecords",
    "OutcomeUnknownError",
    "RecordState",
    "Request",
    "Resume",
    "run_agent",
]
