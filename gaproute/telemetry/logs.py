"""The appliance's log: structlog's, a line of JSON each."""

import sys

import structlog


def logger(stream=None, level="info"):
    """A logger that writes lines of JSON to `stream` (standard error)."""
    levels = {"debug": 10, "info": 20, "warning": 30, "error": 40}
    return structlog.wrap_logger(
        structlog.WriteLogger(stream or sys.stderr),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(levels[level]),
    )
