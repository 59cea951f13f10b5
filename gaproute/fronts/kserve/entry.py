"""The front for calls that other gateways forward to this one, in the clients' form at the peer address.

It answers forwarded calls as those of clients, with two differences. It adds the cell's load and what the
call found at the host. And a rejected call that provably never ran is answered 404 if this gateway does not
know the cell, else 429, in place of 503: only these statuses prove that a call never ran
(`gaproute.hosts.results`). Any other rejected call is answered 503 and a failed one 504, which prove nothing.
"""

from collections.abc import Callable

import msgspec

from gaproute.config.configuration import Configuration
from gaproute.core.core import Core
from gaproute.fronts.kserve.rest import RestFront
from gaproute.hosts import forwarding, orca
from gaproute.http1 import Request, Server
from gaproute.http1.rendering import Header
from gaproute.interface import HostLoadReport, InstanceStatus
from gaproute.interface.call import Answer, Call, FinalAnswer

NEVER_RAN_STATUS, CELL_UNKNOWN_STATUS = 429, 404


class EntryFront(RestFront):
    """Serves other gateways; `server` passes the requests for this front to `handle`."""

    def __init__(
        self,
        server: Server,
        core: Core,
        configuration: Configuration,
        is_ready: Callable[[], bool],
        load_report: Callable[[str], HostLoadReport | None],
    ) -> None:
        """`load_report(cell)`: the cell's load as it is sent to other gateways; None if unknown."""
        super().__init__(server, core, configuration, is_ready)
        self.load_report = load_report

    def _build_call(self, request: Request, model: str, version: str) -> Call:
        call = super()._build_call(request, model, version)
        forwarded = forwarding.decode_forwarded(request.headers)
        if forwarded is None:
            return call
        return call._replace(forwarded=forwarded, origin=forwarding.decode_origin(request.headers))

    def _send_answer(self, request: Request, final: FinalAnswer, answer: Answer) -> None:
        forwarded = forwarding.decode_forwarded(request.headers)
        if forwarded is not None:
            fields = (*answer.fields, *self._metrics_headers(forwarded.cell, final.found))
            answer = answer._replace(fields=fields)
        super()._send_answer(request, final, answer)

    def _rejection_status(self, request: Request, final: FinalAnswer) -> int:
        if not final.never_ran or forwarding.decode_forwarded(request.headers) is None:
            return super()._rejection_status(request, final)
        return CELL_UNKNOWN_STATUS if final.cell_unknown else NEVER_RAN_STATUS

    def _metrics_headers(self, cell: str, found: InstanceStatus) -> tuple[Header, ...]:
        """The header with the cell's load and what the call found at the host; none if neither is known."""
        report = self.load_report(cell)
        metrics: dict[str, float] = {}
        if report is not None and report.in_hand is not None:
            metrics["in_hand"] = report.in_hand
        if found is not InstanceStatus.UNKNOWN:
            metrics["copy"] = found.value
        if not metrics:
            return ()
        return ((orca.REPORT_HEADER, b"JSON " + msgspec.json.encode({"named_metrics": metrics})),)
