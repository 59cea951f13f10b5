"""The operators' address of a gateway: serves tables (`status.py`) and accepts lease commands over HTTP."""

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

LEASES_PATH = b"/permits"
TABLES_BY_PATH: dict[bytes, Callable[[RunningGateway], object]] = {
    b"/status": status.status,
    b"/hosts": status.host_table,
    b"/knows": status.warm_instances,
    b"/peers": status.peer_table,
    LEASES_PATH: status.lease_table,
    b"/events": status.event_table,
}
JSON_HEADERS = ((b"Content-Type", b"application/json"),)


class LeasesUnavailableError(GaprouteError, ValueError):
    """A lease command reached a gateway whose configuration names no Raft group."""


class OperatorFront:
    """Serves the tables and lease requests. Errors: OSError if the address cannot be listened on."""

    def __init__(self, loop: Loop, address: Address, appliance: RunningGateway) -> None:
        self.appliance = appliance
        self.server = Server(loop, address, self.handle)
        self.address: str = self.server.address

    def handle(self, request: Request) -> None:
        """Answers a request."""
        if request.target == LEASES_PATH and request.method == b"POST":
            self._execute(request)
            return
        table = TABLES_BY_PATH.get(request.target)
        if table is None:
            self._answer(request, HTTPStatus.NOT_FOUND, {"error": f"the paths are {_paths()}"})
        else:
            self._answer(request, HTTPStatus.OK, table(self.appliance))

    def _execute(self, request: Request) -> None:
        """Carries out an operator's command to request, extend or release a lease (`docs/leases.md`)."""
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
    *names, last = (path.decode() for path in TABLES_BY_PATH)
    return f"{', '.join(names)} and {last}"
