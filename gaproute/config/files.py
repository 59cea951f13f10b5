"""Files read: the configuration, lists of hosts and of gateways; whole or not at all."""

from pathlib import Path

from gaproute.config.configuration import Configuration
from gaproute.config.consistency import across, twice
from gaproute.config.directives import DIRECTIVES, HOST_DIRECTIVES, PEER_DIRECTIVES
from gaproute.config.directives.process import Decisions
from gaproute.config.parsing import ConfigurationError, Mistake, read_lines


def read_configuration(file, text=None):
    """The configuration of a file. Errors: `ConfigurationError` with every mistake; nothing of it is used."""
    file = str(file)
    if text is None:
        text = read_text(file)
    found, mistakes, words = read_lines(file, text, DIRECTIVES)
    mistakes += across(file, found, words)
    if not mistakes:
        try:
            return Configuration(file, found)
        except (ImportError, AttributeError) as fault:
            mistakes.append(Mistake(file, 0, f"decisions: {fault}", f"right would be: {Decisions.example}"))
    raise ConfigurationError(sorted(mistakes, key=lambda mistake: mistake.line))


def read_hosts(file, text=None):
    """The `host` lines of a host list. Errors: `ConfigurationError`."""
    return _read_list(file, text, "host", HOST_DIRECTIVES)


def read_peers(file, text=None):
    """The `peer` lines of a list of gateways. Errors: `ConfigurationError`."""
    return _read_list(file, text, "peer", PEER_DIRECTIVES)


def _read_list(file, text, word, words):
    file = str(file)
    found, mistakes, _ = read_lines(file, read_text(file) if text is None else text, words)
    mistakes += twice(file, [(word, line) for _, line in found])
    if mistakes:
        raise ConfigurationError(mistakes)
    return [line for _, line in found]


def read_text(file):
    """The text of a file. Errors: `ConfigurationError`."""
    try:
        return Path(file).read_text()
    except (OSError, UnicodeDecodeError) as fault:
        raise ConfigurationError(
            [Mistake(file, 0, f"cannot be read: {fault}", "name a readable text file")]
        ) from fault
