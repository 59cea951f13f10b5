"""Load reports in the published ORCA form (Open Request Cost Aggregation): the `endpoint-load-metrics`
header.

`JSON {"cpu_utilization": 0.4, "named_metrics": {"queue": 2}}` or `TEXT
cpu_utilization=0.4,named_metrics.queue=2`. Standard fields used: `cpu_utilization`, `mem_utilization`
(shares). Named metrics used: `queue` (requests waiting), `in_hand` (requests at work or waiting), `copy`
(what the request found: 1 a warm instance, 2 it began a load, 3 it waited for one), `alike` (requests of the
same model in flight when it came). What cannot be read counts as not reported.
"""

from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from gaproute.hosts.load_figures import bounded_count, valid_figure
from gaproute.interface import HostLoadReport, InstanceStatus

HEADER = b"endpoint-load-metrics"
REQUEST_FIELD = (b"endpoint-load-metrics-format", b"JSON")  # requests a report
NAMED_PREFIX = "named_metrics."
FOUND: dict[float | None, InstanceStatus] = {
    found.value: found for found in InstanceStatus if found is not InstanceStatus.UNKNOWN
}
NO_FIGURES = HostLoadReport()


class LoadReport(msgspec.Struct):
    """The fields of the header that are used."""

    cpu_utilization: float | None = None
    mem_utilization: float | None = None
    named_metrics: dict[str, float] = {}


class ReportedLoad(NamedTuple):
    """What the headers of one answer report."""

    report: HostLoadReport | None
    found: InstanceStatus
    same_function_requests: int | None


NOTHING_REPORTED = ReportedLoad(None, InstanceStatus.UNKNOWN, None)

_decode_json = msgspec.json.Decoder(LoadReport).decode


def decode_value(value: bytes) -> LoadReport | None:
    """The header's value, or None where it is not of the form."""
    form, _, text = value.strip().partition(b" ")
    try:
        if form == b"JSON":
            return _decode_json(text)
        if form == b"TEXT":
            return _decode_text(text.decode())
    except (msgspec.MsgspecError, ValueError):
        pass
    return None


def _decode_text(text: str) -> LoadReport:
    report = LoadReport(named_metrics={})
    for pair in text.split(","):
        name, _, figure = pair.strip().partition("=")
        if name.startswith(NAMED_PREFIX):
            report.named_metrics[name.removeprefix(NAMED_PREFIX)] = float(figure)
        elif name == "cpu_utilization":
            report.cpu_utilization = float(figure)
        elif name == "mem_utilization":
            report.mem_utilization = float(figure)
    return report


def decode_headers(headers: Mapping[bytes, bytes]) -> ReportedLoad:
    """What an answer's headers, by lower-case name, report of the host's load."""
    value = headers.get(HEADER)
    reported = decode_value(value) if value is not None else None
    if reported is None:
        return NOTHING_REPORTED
    named = reported.named_metrics
    report = HostLoadReport(
        valid_figure(named.get("in_hand")),
        valid_figure(named.get("queue")),
        valid_figure(reported.cpu_utilization),
        valid_figure(reported.mem_utilization),
    )
    return ReportedLoad(
        report if report != NO_FIGURES else None,
        FOUND.get(named.get("copy"), InstanceStatus.UNKNOWN),
        bounded_count(valid_figure(named.get("alike"))),
    )
