"""HTTP/1.1 (RFC 9110, 9112): sans-I/O messages on httptools, a server side and a client side on streams."""

from gaproute.http1.client import Exchange, Link, Undelivered
from gaproute.http1.limits import Limits
from gaproute.http1.message import Fault, Reader, Request, Response
from gaproute.http1.rendering import render
from gaproute.http1.server import Server

__all__ = [
    "Exchange",
    "Fault",
    "Limits",
    "Link",
    "Reader",
    "Request",
    "Response",
    "Server",
    "Undelivered",
    "render",
]
