"""Structured logs: one line of ``key=value`` pairs for each event."""

import logging
import sys
import time
from collections.abc import Mapping

from pythonjsonlogger.core import BaseJsonFormatter

from plantainyoke.telemetry._bounded import BoundedHandler

LOGGER_NAME = "plantainyoke"
MAX_VALUE_LENGTH = 500  # of a field; messages of errors may quote what they reject


class KeyValueFormatter(BaseJsonFormatter):
    """Formats the fields of a record as ``key=value`` pairs on one line."""

    def formatTime(self, record, datefmt=None) -> str:  # noqa: N802
        """Return the record's time in UTC with milliseconds."""
        seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        return f"{seconds}.{int(record.msecs):03d}Z"

    def jsonify_log_record(self, log_data: Mapping) -> str:
        """Return the line of one record."""
        return " ".join(
            f"{key}={_quote(value)}"
            for key, value in log_data.items()
            if value is not None
        )


def _quote(value) -> str:
    text = str(value)
    if len(text) > MAX_VALUE_LENGTH:
        text = f"{text[:MAX_VALUE_LENGTH]}..."
    if text and not any(character in text for character in ' "=\n\r\t'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + " ".join(escaped.split()) + '"'


def configure_logging(
    *, level: str, process: str, stream=None, descriptor: int | None = None
) -> None:
    """Configure the logger to write this process's events to a stream or descriptor.

    Parameters
    ----------
    level : str
        Name of the lowest level that is logged, in any case.
    process : str
        Name of the process, added to each line.
    stream : file, default=None
        Standard error if None.
    descriptor : int, default=None
        File descriptor to write to without blocking, instead of a stream.
    """
    if descriptor is None:
        handler = logging.StreamHandler(stream or sys.stderr)
    else:
        handler = BoundedHandler(descriptor)
    handler.setFormatter(
        KeyValueFormatter(
            "{asctime}{levelname}{message}",
            style="{",
            rename_fields={"asctime": "time", "levelname": "level", "message": "event"},
            static_fields={"process": process},
        )
    )
    logger = logging.getLogger(LOGGER_NAME)
    logger.handlers[:] = [handler]
    logger.setLevel(level.upper())
    logger.propagate = False


def get_logger() -> logging.Logger:
    """Return the logger of all events."""
    return logging.getLogger(LOGGER_NAME)


def log_event(event: str, *, level: int = logging.INFO, **fields) -> None:
    """Log one event with its fields."""
    get_logger().log(level, event, extra=fields)
