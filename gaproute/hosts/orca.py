"""Load reports in the published ORCA form (Open Request Cost Aggregation): the `endpoint-load-metrics`
header.

`JSON {"cpu_utilization": 0.4, "named_metrics": {"queue": 2}}` or `TEXT
cpu_utilization=0.4,named_metrics.queue=2`. Standard fields used: `cpu_utilization`, `mem_utilization`
(shares). Named metrics used: `queue` (tasks waiting), `in_hand` (tasks at work or waiting), `copy` (what the
task found: 1 a copy stood, 2 it began a load, 3 it waited for one), `alike` (tasks of the same model held
when it came). What cannot be read counts as not told.
"""

import math

import msgspec

from gaproute.interface import Found, Report

HEADER = b"endpoint-load-metrics"
REQUEST_FIELD = (b"endpoint-load-metrics-format", b"JSON")


class LoadReport(msgspec.Struct):
    cpu_utilization: float | None = None
    mem_utilization: float | None = None
    named_metrics: dict[str, float] = {}


_decode = msgspec.json.Decoder(LoadReport).decode


def decode_value(value):
    """A header's value as `LoadReport`, or None where it is not one."""
    form, _, text = value.strip().partition(b" ")
    try:
        if form == b"JSON":
            return _decode(text)
        if form == b"TEXT":
            told = LoadReport(named_metrics={})
            for pair in text.decode().split(","):
                name, _, figure = pair.strip().partition("=")
                if name.startswith("named_metrics."):
                    told.named_metrics[name[14:]] = float(figure)
                elif name in ("cpu_utilization", "mem_utilization"):
                    setattr(told, name, float(figure))
            return told
    except (msgspec.MsgspecError, ValueError):
        pass
    return None


def decode_headers(headers):
    """(report or None, found, alike or None) of an answer's headers."""
    value = headers.get(HEADER)
    told = decode_value(value) if value is not None else None
    if told is None:
        return None, Found.UNKNOWN, None
    named = told.named_metrics
    report = Report(
        valid_load(named.get("in_hand")),
        valid_load(named.get("queue")),
        valid_load(told.cpu_utilization),
        valid_load(told.mem_utilization),
    )
    copy, alike = valid_load(named.get("copy")), valid_load(named.get("alike"))
    found = Found(int(copy)) if copy in (1, 2, 3, 4) else Found.UNKNOWN
    return (
        report if any(part is not None for part in report) else None,
        found,
        None if alike is None else min(int(alike), 1 << 20),
    )


def valid_load(value):
    """A load is a finite number that is not negative; anything else was not told."""
    return value if value is not None and math.isfinite(value) and value >= 0 else None
