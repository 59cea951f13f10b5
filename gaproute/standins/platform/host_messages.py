"""What gateways send a platform's host: one JSON object a line, of a kind that its `type` names."""

from __future__ import annotations

import msgspec

from gaproute.errors import GaprouteError
from gaproute.standins.model_server import ModelProfile


class HostMessageError(GaprouteError):
    """A line that a host cannot take: it is noted, and the connection ends."""


class _Message(msgspec.Struct, frozen=True, kw_only=True, tag_field="type"):
    """`request_id`: the gateway's name for what is answered; key `req`."""

    request_id: str = msgspec.field(default="", name="req")


class RequestDetails(msgspec.Struct, frozen=True):
    """What a request is to run."""

    request_class: str = msgspec.field(name="cls")
    function: str = msgspec.field(name="item")
    limit: float  # ms that it may take


class RunRequest(_Message, frozen=True, kw_only=True, tag="go"):
    """A request."""

    details: RequestDetails = msgspec.field(name="meta")


class CancelRequest(_Message, frozen=True, kw_only=True, tag="halt"):
    """The gateway gives a request up."""


class HealthCheck(_Message, frozen=True, kw_only=True, tag="ping"):
    """Asks for the state."""


class LoadReportRequest(_Message, frozen=True, kw_only=True, tag="stat"):
    """Asks for the state and the load."""


class OrderDetails(msgspec.Struct, frozen=True):
    """How many instances of a function the gateway wants."""

    function: str = msgspec.field(name="item")
    copies: int


class OrderLoad(_Message, frozen=True, kw_only=True, tag="stage"):
    """A load order; without a count above 0 it only asks how many instances are loaded."""

    details: OrderDetails = msgspec.field(name="meta")


class Unload(_Message, frozen=True, kw_only=True, tag="purge"):
    """Unloads the function that `request_id` names, where it is not used."""


class Introduction(_Message, frozen=True, kw_only=True, tag="whose"):
    """Says which gateway speaks on this connection.

    No line of the protocol tells a host which gateway ordered a load: a cluster harness that stands between
    writes this first on a connection.
    """

    gateway: str


HostMessage = RunRequest | CancelRequest | HealthCheck | LoadReportRequest | OrderLoad | Unload | Introduction

_decoder: msgspec.json.Decoder[HostMessage] = msgspec.json.Decoder(HostMessage)


def decode_message(line: bytes) -> HostMessage:
    """A line as a message. Errors: HostMessageError."""
    try:
        return _decoder.decode(line)
    except msgspec.DecodeError as error:
        raise HostMessageError(f"reading a gateway's line: {error}") from error


def check_request(message: RunRequest, model: ModelProfile | None) -> None:
    """Refuses a request without a limit, or for a function of another class. Errors: HostMessageError."""
    details = message.details
    if not details.limit > 0:
        raise HostMessageError(
            f"request {message.request_id}: a limit of {details.limit:g} ms, expected more than 0"
        )
    if model is not None and model.request_class != details.request_class:
        raise HostMessageError(
            f"request {message.request_id}: {details.function} of class {details.request_class},"
            f" expected {model.request_class}"
        )
