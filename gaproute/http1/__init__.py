"""HTTP/1.1 (RFC 9110, 9112): sans-I/O messages on httptools, a server side and a client side on streams."""

from gaproute.http1.client import ClientConnection, Exchange, NoResponseError
from gaproute.http1.limits import Limits
from gaproute.http1.message import HttpError, Reader, Request, Response
from gaproute.http1.rendering import render
from gaproute.http1.server import Server

__all__ = [
    "Exchange",
    "HttpError",
    "Limits",
    "ClientConnection",
    "Reader",
    "Request",
    "Response",
    "Server",
    "NoResponseError",
    "render",
]
