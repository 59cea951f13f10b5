"""Reads the environment variables and the configuration file; an invalid file is rejected as a whole."""

import os
from typing import Any, NamedTuple

import msgspec

from gaproute import interface, settings
from gaproute.discovery.changelog import events
from gaproute.errors import GaprouteError
from gaproute.loop.addresses import parse_address

ADDRESS_FIELDS = ("listen", "changelog")
SEED_BASE = 16


class ConfigurationRejectedError(GaprouteError):
    """The configuration cannot be used; the message names the file, the field and the value found."""


class ConfigurationUnreadableError(ConfigurationRejectedError):
    """The configuration file could not be opened or read; `cause` is the OSError."""

    def __init__(self, text: str, cause: OSError) -> None:
        super().__init__(text)
        self.cause = cause


class Limits(msgspec.Struct):
    """The machine resources that the process may use; the field names are those of the file."""

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
    """A valid configuration, with the routing and deployment settings decoded from it."""

    configuration: Configuration
    routing_settings: interface.RoutingSettings
    deployment: settings.DeploymentSettings


class Environment(NamedTuple):
    """The environment variables; a missing name or listen address is taken from the configuration file."""

    name: str | None
    listen: str | None
    path: str


def read_configuration(path: str) -> LoadedConfiguration:
    """Reads and checks a configuration file.

    Errors: `ConfigurationRejectedError`; its subclass `ConfigurationUnreadableError` if reading fails.
    """
    configuration = _decode_file(path, _read_bytes(path))
    _check_fields(path, configuration)
    loaded = _decode_settings(path, configuration)
    if not loaded.routing_settings.request_classes:
        raise ConfigurationRejectedError(
            f"{path}: settings: no request class is defined; at least one is required"
        )
    return loaded


def read_environment() -> Environment:
    """Reads the environment variables. Errors: `ConfigurationRejectedError`."""
    path = os.environ.get("EDGE_CONFIG")
    if not path:
        raise ConfigurationRejectedError("EDGE_CONFIG: not set; it must name the configuration file")
    return Environment(os.environ.get("EDGE_NAME"), os.environ.get("EDGE_LISTEN"), path)


def _read_bytes(path: str) -> bytes:
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        raise ConfigurationUnreadableError(f"EDGE_CONFIG: {path}: {error.strerror}", error) from error


def _decode_file(path: str, data: bytes) -> Configuration:
    try:
        return msgspec.json.decode(data, type=Configuration)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ConfigurationRejectedError(f"{path}: {error}") from None


def _check_fields(path: str, configuration: Configuration) -> None:
    """Rejects values that have the right type but are invalid. Errors: `ConfigurationRejectedError`."""
    for field in ADDRESS_FIELDS:
        try:
            parse_address(getattr(configuration, field))
        except ValueError as error:
            raise ConfigurationRejectedError(f"{path}: {field}: {error}") from None
    try:
        int(configuration.seed, SEED_BASE)
    except ValueError:
        text = f"{path}: seed: {configuration.seed!r} is not a hexadecimal number"
        raise ConfigurationRejectedError(text) from None
    try:
        events.decode_initial_events(configuration.known)
    except msgspec.ValidationError as error:
        raise ConfigurationRejectedError(f"{path}: known: {error}") from None


def _decode_settings(path: str, configuration: Configuration) -> LoadedConfiguration:
    """Decodes the settings of a configuration. Errors: `ConfigurationRejectedError`."""
    section = configuration.settings
    try:
        return LoadedConfiguration(
            configuration, settings.read_routing_settings(section), settings.read_deployment(section)
        )
    except (KeyError, ValueError, TypeError, AttributeError, OverflowError) as error:
        raise ConfigurationRejectedError(f"{path}: settings: {error!r}") from None
