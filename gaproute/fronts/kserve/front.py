"""The front for clients, which has a server of its own."""

import socket
from collections.abc import Callable

from gaproute.config.configuration import Configuration
from gaproute.config.directives.process import ClientLimitsLine
from gaproute.core.core import Core
from gaproute.decisions.admission.admission import IDLE_JITTER_SHARE
from gaproute.fronts.kserve.responses import JSON_TYPE, encode_error
from gaproute.fronts.kserve.rest import RestFront
from gaproute.http1 import HttpError, Limits, Server
from gaproute.http1.rendering import ErrorAnswer
from gaproute.loop import Loop
from gaproute.loop.addresses import Address


class KServeFront(RestFront):
    """Serves clients on one listening address."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        core: Core,
        configuration: Configuration,
        is_ready: Callable[[], bool],
        inherited: socket.socket | None = None,
    ) -> None:
        """`inherited`: a listening socket from which other processes accept as well. Errors: OSError."""
        server = Server(
            loop,
            address,
            self.handle,
            _server_limits(configuration.client_limits),
            render_error=_error_answer,
            counted=True,
            inherited=inherited,
        )
        super().__init__(server, core, configuration, is_ready)


def _server_limits(clients: ClientLimitsLine) -> Limits:
    return Limits(
        max_head_bytes=clients.head,
        max_body_bytes=clients.body,
        max_pipelined=clients.pipelined,
        read_timeout=clients.read,
        idle_timeout=clients.idle,
        max_connections=clients.connections,
        idle_jitter=IDLE_JITTER_SHARE,
    )


def _error_answer(error: HttpError) -> ErrorAnswer:
    return ErrorAnswer((JSON_TYPE,), encode_error(error.text))
