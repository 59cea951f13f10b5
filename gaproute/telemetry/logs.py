"""The log of the KServe gateway: JSON lines written by structlog."""

import sys
from typing import Protocol, TextIO

import structlog

from gaproute.telemetry.record import Log

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}


class BindableLog(Log, Protocol):
    """A log from which a log with additional fields in each line can be derived."""

    def bind(self, **fields: object) -> Log:
        """Returns a log that adds these fields to each line."""


def logger(stream: TextIO | None = None, level: str = "info") -> BindableLog:
    """A structlog logger that writes JSON lines to `stream`, by default to standard error.

    Lines below `level` are omitted. Errors: KeyError for an unknown level.
    """
    log: BindableLog = structlog.wrap_logger(
        structlog.WriteLogger(stream or sys.stderr),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
    )
    return log
