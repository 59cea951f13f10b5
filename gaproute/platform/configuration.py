"""Reads the environment variables and the configuration file; one that is invalid is rejected as a whole."""

import os
from typing import Any, NamedTuple

import msgspec

from gaproute import interface, settings
from gaproute.discovery.changelog import events
from gaproute.errors import GaprouteError
from gaproute.loop.addresses import parse_address

ADDRESS_FIELDS = ("listen", "changelog")
SEED_BASE = 16


class ConfigurationRefusedError(GaprouteError):
    """The configuration is invalid; the text names the file, the field and what was found."""


class ConfigurationUnreadableError(ConfigurationRefusedError):
    """The configuration file could not be opened or read; `cause` is the OSError."""

    def __init__(self, text: str, cause: OSError) -> None:
        super().__init__(text)
        self.cause = cause


class Limits(msgspec.Struct):
    """What the process may use of the machine; the field names are those of the file."""

    cores: float = 1.0
    memory_mb: float = 192
    sockets: int = 256


class Configuration(msgspec.Struct):
    """The configuration file; the field names are those of the file."""

    name: str
    listen: str
    changelog: str
    settings: dict[str, Any]
    known: dict[str, Any] = {}
    limits: Limits = msgspec.field(default_factory=Limits)
    seed: str = "0"
    peers: list[str] = []
    peer_listen: str = ""
    peers_all: str = ""


class LoadedConfiguration(NamedTuple):
    """A valid configuration, with its settings decoded."""

    configuration: Configuration
    terms: interface.Terms
    deployment: settings.DeploymentSettings


class Environment(NamedTuple):
    """The environment variables; a name or an address that is missing there is taken from the file."""

    name: str | None
    listen: str | None
    path: str


def read_configuration(path: str) -> LoadedConfiguration:
    """Reads and checks a configuration file.

    Errors: `ConfigurationRefusedError`; `ConfigurationUnreadableError` where the file cannot be read.
    """
    configuration = _decode(path, _read_bytes(path))
    _check_fields(path, configuration)
    loaded = _load(path, configuration)
    if not loaded.terms.request_classes:
        raise ConfigurationRefusedError(f"{path}: settings: no classes of request are named")
    return loaded


def read_environment() -> Environment:
    """Reads the environment variables. Errors: `ConfigurationRefusedError`."""
    path = os.environ.get("EDGE_CONFIG")
    if not path:
        raise ConfigurationRefusedError("EDGE_CONFIG: not set; it names the configuration file")
    return Environment(os.environ.get("EDGE_NAME"), os.environ.get("EDGE_LISTEN"), path)


def _read_bytes(path: str) -> bytes:
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        raise ConfigurationUnreadableError(f"EDGE_CONFIG: {path}: {error.strerror}", error) from error


def _decode(path: str, data: bytes) -> Configuration:
    try:
        return msgspec.json.decode(data, type=Configuration)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ConfigurationRefusedError(f"{path}: {error}") from None


def _check_fields(path: str, configuration: Configuration) -> None:
    """Rejects invalid values of the right type. Errors: `ConfigurationRefusedError`."""
    for field in ADDRESS_FIELDS:
        try:
            parse_address(getattr(configuration, field))
        except ValueError as error:
            raise ConfigurationRefusedError(f"{path}: {field}: {error}") from None
    try:
        int(configuration.seed, SEED_BASE)
    except ValueError:
        text = f"{path}: seed: {configuration.seed!r} is no hexadecimal number"
        raise ConfigurationRefusedError(text) from None
    try:
        events.decode_initial(configuration.known)
    except msgspec.ValidationError as error:
        raise ConfigurationRefusedError(f"{path}: known: {error}") from None


def _load(path: str, configuration: Configuration) -> LoadedConfiguration:
    """Decodes the settings of a configuration. Errors: `ConfigurationRefusedError`."""
    given = configuration.settings
    try:
        return LoadedConfiguration(configuration, settings.read_terms(given), settings.read_deployment(given))
    except (KeyError, ValueError, TypeError, AttributeError, OverflowError) as error:
        raise ConfigurationRefusedError(f"{path}: settings: {error!r}") from None
