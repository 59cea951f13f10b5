"""The front at which other gateways forward calls to this one: the clients' form at the address of its peers.

It answers them as a client's, but that it adds the cell's load and what the call found at the host, and that
a rejected call that provably never ran is answered 404 where this gateway does not know the cell, else 429,
in place of 503: by the results of the hosts (`gaproute.hosts.results`) these two alone prove that. Any other
rejected call stays 503 and a failed one stays 504, which prove nothing.
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

NEVER_RAN, CELL_UNKNOWN = 429, 404  # status codes


class EntryFront(RestFront):
    """Serves other gateways on a server that hands over by `handle` what is for this front."""

    def __init__(
        self,
        server: Server,
        core: Core,
        configuration: Configuration,
        is_ready: Callable[[], bool],
        load_report: Callable[[str], HostLoadReport | None],
    ) -> None:
        """`load_report(cell)`: the cell's load as it is sent to other gateways, where it is known."""
        super().__init__(server, core, configuration, is_ready)
        self.load_report = load_report

    def _call(self, request: Request, model: str, version: str) -> Call:
        call = super()._call(request, model, version)
        forwarded = forwarding.decode(request.headers)
        if forwarded is None:
            return call
        return call._replace(forwarded=forwarded, origin=forwarding.decode_origin(request.headers))

    def _answer(self, request: Request, final: FinalAnswer, answer: Answer) -> None:
        forwarded = forwarding.decode(request.headers)
        if forwarded is not None:
            fields = (*answer.fields, *self._metrics(forwarded.cell, final.found))
            answer = answer._replace(fields=fields)
        super()._answer(request, final, answer)

    def _rejected_status(self, request: Request, final: FinalAnswer) -> int:
        if not final.never_ran or forwarding.decode(request.headers) is None:
            return super()._rejected_status(request, final)
        return CELL_UNKNOWN if final.cell_unknown else NEVER_RAN

    def _metrics(self, cell: str, found: InstanceStatus) -> tuple[Header, ...]:
        """The header with the cell's load and what the call found, as far as they are known."""
        report = self.load_report(cell)
        metrics: dict[str, float] = {}
        if report is not None and report.in_hand is not None:
            metrics["in_hand"] = report.in_hand
        if found is not InstanceStatus.UNKNOWN:
            metrics["copy"] = found.value
        if not metrics:
            return ()
        return ((orca.HEADER, b"JSON " + msgspec.json.encode({"named_metrics": metrics})),)
