"""What the platform tells the process: the environment and the configuration file, read whole or refused."""

import os

import msgspec

from gaproute import terms
from gaproute.discovery.changelog import events
from gaproute.loop.streams import address


class Refused(Exception):
    """The configuration cannot be used; the text names the field."""


class Unread(Refused):
    """It could not be opened for now; `fault` is the OSError."""

    def __init__(self, text, fault):
        super().__init__(text)
        self.fault = fault


class Limits(msgspec.Struct):
    cores: float = 1.0
    memory_mb: float = 192
    sockets: int = 256


class Charter(msgspec.Struct):
    name: str
    listen: str
    changelog: str
    settings: dict
    known: dict = {}
    limits: Limits = msgspec.field(default_factory=Limits)
    seed: str = "0"
    peers: list[str] = []
    peer_listen: str = ""
    peers_all: str = ""


def read(path):
    """(charter, terms, site). Errors: Refused."""
    try:
        with open(path, "rb") as file:
            told = file.read()
    except OSError as fault:
        raise Unread(f"EDGE_CONFIG: {path}: {fault.strerror}", fault) from fault
    try:
        charter = msgspec.json.decode(told, type=Charter)
    except (msgspec.MsgspecError, UnicodeDecodeError) as fault:
        raise Refused(f"{path}: {fault}") from None
    for field in ("listen", "changelog"):
        try:
            address(getattr(charter, field))
        except ValueError as fault:
            raise Refused(f"{path}: {field}: {fault}") from None
    try:
        int(charter.seed, 16)
    except ValueError:
        raise Refused(f"{path}: seed: {charter.seed!r} is no hexadecimal number") from None
    try:
        events.known(charter.known)
    except msgspec.ValidationError as fault:
        raise Refused(f"{path}: known: {fault}") from None
    try:
        made = charter, terms.terms(charter.settings), terms.site(charter.settings)
    except (KeyError, ValueError, TypeError, AttributeError, OverflowError) as fault:
        raise Refused(f"{path}: settings: {fault!r}") from None
    if not made[1].tracks:
        raise Refused(f"{path}: settings: no classes of request are named")
    return made


def environment():
    """(name, listen, path) of the environment; what is missing there stands in the file. Errors: Refused."""
    path = os.environ.get("EDGE_CONFIG")
    if not path:
        raise Refused("EDGE_CONFIG: not set; it names the configuration file")
    return os.environ.get("EDGE_NAME"), os.environ.get("EDGE_LISTEN"), path
