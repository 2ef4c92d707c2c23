"""Logs, metrics, and background tasks whose failures appear in both."""

from plantainyoke.telemetry._logging import configure_logging, get_logger, log_event
from plantainyoke.telemetry._metrics import Metrics, format_metrics
from plantainyoke.telemetry._tasks import TaskSet

__all__ = [
    "Metrics",
    "TaskSet",
    "configure_logging",
    "format_metrics",
    "get_logger",
    "log_event",
]
