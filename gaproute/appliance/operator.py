"""The operators' address of a gateway: its tables over HTTP (`status.py`), and lease requests."""

from collections.abc import Callable
from http import HTTPStatus

import msgspec

from gaproute.appliance import status
from gaproute.appliance.running_gateway import RunningGateway
from gaproute.errors import GaprouteError
from gaproute.http1 import Request, Server
from gaproute.loop import Loop
from gaproute.loop.addresses import Address
from gaproute.shared.leases.operator_requests import decode_operator_command

LEASES = b"/permits"
TABLES: dict[bytes, Callable[[RunningGateway], object]] = {
    b"/status": status.status,
    b"/hosts": status.host_table,
    b"/knows": status.warm_instances,
    b"/peers": status.peer_table,
    LEASES: status.lease_table,
    b"/events": status.event_table,
}
JSON_HEADERS = ((b"Content-Type", b"application/json"),)


class LeasesUnavailableError(GaprouteError, ValueError):
    """A lease was requested at a gateway that belongs to no Raft group."""


class OperatorFront:
    """Serves what the command line reads. Errors: OSError where the address cannot be listened on."""

    def __init__(self, loop: Loop, where: Address, appliance: RunningGateway) -> None:
        self.appliance = appliance
        self.server = Server(loop, where, self.handle)
        self.address: str = self.server.address

    def handle(self, request: Request) -> None:
        """Answers one request."""
        if request.target == LEASES and request.method == b"POST":
            self._execute(request)
            return
        table = TABLES.get(request.target)
        if table is None:
            self._answer(request, HTTPStatus.NOT_FOUND, {"error": f"the paths are {_paths()}"})
        else:
            self._answer(request, HTTPStatus.OK, table(self.appliance))

    def _execute(self, request: Request) -> None:
        """Requests, extends or releases a lease for an operator (`docs/leases.md`)."""
        leases = self.appliance.peers.leases
        try:
            if leases is None:
                raise LeasesUnavailableError("no keepers line in the configuration")
            result = leases.execute(decode_operator_command(request.body))
        except (ValueError, msgspec.ValidationError) as error:
            self._answer(request, HTTPStatus.BAD_REQUEST, {"error": str(error)})
        else:
            self._answer(request, HTTPStatus.OK, result)

    def _answer(self, request: Request, code: HTTPStatus, body: object) -> None:
        self.server.answer(request, code.value, JSON_HEADERS, msgspec.json.encode(body))

    def close(self) -> None:
        """Closes the address."""
        self.server.close()


def _paths() -> str:
    *names, last = (path.decode() for path in TABLES)
    return f"{', '.join(names)} and {last}"
