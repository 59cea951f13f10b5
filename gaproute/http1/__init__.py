"""HTTP/1.1 (RFC 9110, 9112): a sans-I/O decoder on httptools, and a server and a client on streams."""

from gaproute.http1.client import ClientConnection
from gaproute.http1.errors import HttpError, NoResponseError
from gaproute.http1.exchange import Exchange
from gaproute.http1.limits import Limits
from gaproute.http1.message import Request, Response
from gaproute.http1.reader import RequestReader, ResponseReader
from gaproute.http1.rendering import render
from gaproute.http1.server import Server

__all__ = [
    "ClientConnection",
    "Exchange",
    "HttpError",
    "Limits",
    "NoResponseError",
    "Request",
    "RequestReader",
    "Response",
    "ResponseReader",
    "Server",
    "render",
]
