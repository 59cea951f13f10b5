"""The log of the KServe gateway: lines of JSON by structlog."""

import sys
from typing import TextIO

import structlog
from structlog.typing import FilteringBoundLogger

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}


def logger(stream: TextIO | None = None, level: str = "info") -> FilteringBoundLogger:
    """A structlog logger that writes lines of JSON to `stream`, by default standard error.

    Lines below `level` are left out. Errors: KeyError for an unknown level.
    """
    log: FilteringBoundLogger = structlog.wrap_logger(
        structlog.WriteLogger(stream or sys.stderr),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
    )
    return log
