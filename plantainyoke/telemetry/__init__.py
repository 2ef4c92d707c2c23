"""Logs and metrics."""

from plantainyoke.telemetry._logging import configure_logging, get_logger, log_event
from plantainyoke.telemetry._metrics import Metrics

__all__ = ["Metrics", "configure_logging", "get_logger", "log_event"]
