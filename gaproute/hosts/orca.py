"""Decodes load reports in the ORCA format (Open Request Cost Aggregation).

The value of the `endpoint-load-metrics` header is
`JSON {"cpu_utilization": 0.4, "named_metrics": {"queue": 2}}` or
`TEXT cpu_utilization=0.4,named_metrics.queue=2`.

Standard fields used: `cpu_utilization`, `mem_utilization` (shares). Named metrics used: `queue` (waiting
requests), `in_hand` (running or waiting requests), `copy` (what the request found: 1 a warm instance, 2 it
began a load, 3 it waited for a load, 4 the load failed), `alike` (requests of the same model that were in
flight when the request arrived). A value that cannot be decoded counts as not reported.
"""

from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from gaproute.hosts.load_figures import bounded_count, valid_figure
from gaproute.interface import HostLoadReport, InstanceStatus

REPORT_HEADER = b"endpoint-load-metrics"
REPORT_REQUEST_FIELD = (b"endpoint-load-metrics-format", b"JSON")  # asks the host for a load report
NAMED_METRIC_PREFIX = "named_metrics."
FOUND_BY_COPY_METRIC: dict[float | None, InstanceStatus] = {
    found.value: found for found in InstanceStatus if found is not InstanceStatus.UNKNOWN
}
EMPTY_REPORT = HostLoadReport()


class OrcaReport(msgspec.Struct):
    """The fields of the header value that are used."""

    cpu_utilization: float | None = None
    mem_utilization: float | None = None
    named_metrics: dict[str, float] = {}


class ReportedMetrics(NamedTuple):
    """The metrics that the headers of one response report."""

    report: HostLoadReport | None
    found: InstanceStatus
    same_function_requests: int | None


NO_METRICS = ReportedMetrics(None, InstanceStatus.UNKNOWN, None)

_decode_json = msgspec.json.Decoder(OrcaReport).decode


def decode_header_value(value: bytes) -> OrcaReport | None:
    """Decodes the value of the header; None where it is malformed."""
    encoding, _, text = value.strip().partition(b" ")
    try:
        if encoding == b"JSON":
            return _decode_json(text)
        if encoding == b"TEXT":
            return _decode_text(text.decode())
    except (msgspec.MsgspecError, ValueError):
        pass
    return None


def _decode_text(text: str) -> OrcaReport:
    report = OrcaReport(named_metrics={})
    for pair in text.split(","):
        name, _, figure = pair.strip().partition("=")
        if name.startswith(NAMED_METRIC_PREFIX):
            report.named_metrics[name.removeprefix(NAMED_METRIC_PREFIX)] = float(figure)
        elif name == "cpu_utilization":
            report.cpu_utilization = float(figure)
        elif name == "mem_utilization":
            report.mem_utilization = float(figure)
    return report


def decode_headers(headers: Mapping[bytes, bytes]) -> ReportedMetrics:
    """Decodes the metrics in the headers of a response; `headers` are by lower-case name."""
    value = headers.get(REPORT_HEADER)
    decoded = decode_header_value(value) if value is not None else None
    if decoded is None:
        return NO_METRICS
    named_metrics = decoded.named_metrics
    report = HostLoadReport(
        valid_figure(named_metrics.get("in_hand")),
        valid_figure(named_metrics.get("queue")),
        valid_figure(decoded.cpu_utilization),
        valid_figure(decoded.mem_utilization),
    )
    return ReportedMetrics(
        report if report != EMPTY_REPORT else None,
        FOUND_BY_COPY_METRIC.get(named_metrics.get("copy"), InstanceStatus.UNKNOWN),
        bounded_count(valid_figure(named_metrics.get("alike"))),
    )
