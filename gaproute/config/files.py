"""Readers of the configuration, host lists and peer lists; a file with a mistake is rejected as a whole."""

import os
from collections.abc import Mapping
from pathlib import Path

from gaproute.config.configuration import Configuration
from gaproute.config.consistency import cross_line_mistakes, duplicate_name_mistakes
from gaproute.config.directives import DIRECTIVES, HOST_DIRECTIVES, PEER_DIRECTIVES
from gaproute.config.directives.fleet import HostLine, PeerLine
from gaproute.config.directives.process import DecisionsLine
from gaproute.config.errors import (
    ConfigurationError,
    Mistake,
    error_sorted_by_line,
    expected_line,
    unreadable_file_error,
)
from gaproute.config.parsing import Directive, DirectiveType, directives_of, parse_lines

FilePath = str | os.PathLike[str]


def read_configuration(path: FilePath, text: str | None = None) -> Configuration:
    """The configuration in `text`, or else in the file. Errors: `ConfigurationError` with every mistake."""
    file = str(path)
    if text is None:
        text = read_text(file)
    directives, mistakes, first_lines = parse_lines(file, text, DIRECTIVES)
    mistakes += cross_line_mistakes(file, directives, first_lines)
    if not mistakes:
        try:
            return Configuration(file, directives)
        except (ImportError, AttributeError) as error:
            mistakes.append(Mistake(file, 0, "decisions", str(error), expected_line(DecisionsLine.example)))
    raise error_sorted_by_line(mistakes)


def read_hosts(path: FilePath, text: str | None = None) -> list[HostLine]:
    """The `host` lines of a host list. Errors: `ConfigurationError`."""
    return _read_uniform_list(path, text, HOST_DIRECTIVES, HostLine)


def read_peers(path: FilePath, text: str | None = None) -> list[PeerLine]:
    """The `peer` lines of a peer list. Errors: `ConfigurationError`."""
    return _read_uniform_list(path, text, PEER_DIRECTIVES, PeerLine)


def _read_uniform_list(
    path: FilePath,
    text: str | None,
    directive_types: Mapping[str, type[Directive]],
    directive_type: type[DirectiveType],
) -> list[DirectiveType]:
    """The directives of a file that may contain only directives of one class."""
    file = str(path)
    directives, mistakes, _ = parse_lines(file, read_text(file) if text is None else text, directive_types)
    mistakes += duplicate_name_mistakes(file, directives)
    if mistakes:
        raise ConfigurationError(mistakes)
    return directives_of(directives, directive_type)


def read_text(path: FilePath) -> str:
    """The text of a file. Errors: `ConfigurationError`."""
    try:
        return Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise unreadable_file_error(str(path), error) from error
