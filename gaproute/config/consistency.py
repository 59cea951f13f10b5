"""Checks across the lines of a configuration: names, required lines and lines that exclude each other."""

from collections.abc import Iterable, Iterator, Mapping, Sequence

from gaproute.config.directives.fleet import (
    CellHostsLine,
    CellsLine,
    HostLine,
    ListenLine,
    NameLine,
    PeerLine,
    RaftGroupLine,
)
from gaproute.config.directives.requests import ModelLine, RequestClassLine
from gaproute.config.errors import Mistake, expected_line
from gaproute.config.parsing import NamedDirective, directives_of

KEEP_ONE_EXPECTATION = "keep one of the two"
NAMED_DIRECTIVES = ("host", "track", "model", "tenant", "peer")  # directives whose names are unique in a file
REQUIRED_DIRECTIVES = {
    "listen": ListenLine.example,
    "track": RequestClassLine.example,
    "model": ModelLine.example,
}
EXCLUSIVE_DIRECTIVES = (("host", "hosts-file"), ("peer", "peers-file"))

# Directives that a fleet in cells cannot have, and what the operator should do instead.
EXCLUDED_BY_CELLS = {
    "host": "list the hosts of the cells in the folder of the cell-hosts line",
    "hosts-file": "list the hosts of the cells in the folder of the cell-hosts line",
    "memory": "remove the line: observations of cells are not stored on disk",
    "weak-word": "remove the line: the gateways of a fleet in cells do not gossip about hosts",
    "decisions": "remove the line: a fleet in cells has routing decisions of its own",
}
REQUIRED_WITH_CELLS = (
    ("cells", "cell-hosts", CellHostsLine.example),
    ("cell-hosts", "cells", CellsLine.example),
    ("cells", "name", NameLine.example),
)


def cross_line_mistakes(
    file: str, directives: Sequence[NamedDirective], first_lines: Mapping[str, int]
) -> Iterator[Mistake]:
    """All mistakes across lines; `first_lines` is the number of the first line of each directive."""
    yield from duplicate_name_mistakes(file, directives)
    yield from _missing_directives(file, first_lines)
    yield from _exclusive_directives(file, first_lines)
    yield from _missing_peers_address(file, directives)
    yield from _raft_group_mistakes(file, directives)
    yield from _unknown_track_mistakes(file, directives)
    yield from _cells_mistakes(file, directives, first_lines)
    yield from _duplicate_listen_addresses(file, directives)


def duplicate_name_mistakes(file: str, directives: Iterable[NamedDirective]) -> Iterator[Mistake]:
    """The mistakes of names that are defined a second time."""
    first_lines: dict[tuple[str, str], int] = {}
    for directive, line in directives:
        if directive not in NAMED_DIRECTIVES:
            continue
        before = first_lines.setdefault((directive, line.name), line.line)
        if before != line.line:
            text = f"{directive} {line.name} is defined a second time"
            yield Mistake(file, line.line, directive, text, f"keep line {before} or this line")


def _missing_directives(file: str, first_lines: Mapping[str, int]) -> Iterator[Mistake]:
    for directive, text in REQUIRED_DIRECTIVES.items():
        if directive not in first_lines:
            yield Mistake(
                file, 0, directive, f"the configuration has no {directive} line", expected_line(text)
            )
    if not first_lines.keys() & {"host", "hosts-file", "cells"}:
        yield Mistake(
            file,
            0,
            "host",
            "the configuration has neither a host line nor a hosts-file line",
            expected_line(HostLine.example),
        )
    if "peers-file" in first_lines and "name" not in first_lines:
        found = "a peers-file line requires a name line, which tells this gateway from its peers"
        yield Mistake(file, 0, "name", found, expected_line(NameLine.example))


def _exclusive_directives(file: str, first_lines: Mapping[str, int]) -> Iterator[Mistake]:
    for directive, list_file in EXCLUSIVE_DIRECTIVES:
        if directive in first_lines and list_file in first_lines:
            yield Mistake(
                file,
                first_lines[directive],
                directive,
                f"{directive} lines and a {list_file} line exclude each other",
                KEEP_ONE_EXPECTATION,
            )


def _missing_peers_address(file: str, directives: Sequence[NamedDirective]) -> Iterator[Mistake]:
    """The mistakes of directives that require a listen address for peers."""
    if any(line.kind == "peers" for line in directives_of(directives, ListenLine)):
        return
    for directive, line in directives:
        if directive in ("keepers", "cells") or (directive == "weak-word" and line.enabled):
            expected = expected_line("listen peers 127.0.0.1:8090")
            yield Mistake(file, line.line, directive, f"{directive} requires a listen peers line", expected)


def _raft_group_mistakes(file: str, directives: Sequence[NamedDirective]) -> Iterator[Mistake]:
    """The mistakes of the `keepers` line compared with other lines."""
    line = next(iter(directives_of(directives, RaftGroupLine)), None)
    if line is None:
        return
    own = next((each.name for each in directives_of(directives, NameLine)), None)
    known = {own} | {each.name for each in directives_of(directives, PeerLine)}
    if own is None:
        text = "keepers requires a name line, which tells whether this gateway is a Raft member"
        yield Mistake(file, line.line, "keepers", text, expected_line(NameLine.example))
    if not any(directive == "peers-file" for directive, _ in directives):
        for name in line.names:
            if name not in known:
                expected = expected_line(f"peer {name} 127.0.0.1:8091")
                yield Mistake(
                    file, line.line, "keepers", f"Raft member {name} is not a peer of this gateway", expected
                )
    if own in line.names and line.votes is None:
        text = "this gateway is a Raft member, but the keepers line names no votes file"
        yield Mistake(file, line.line, "keepers", text, expected_line(RaftGroupLine.example))
    if own is not None and own not in line.names and line.votes is not None:
        yield Mistake(
            file,
            line.line,
            "keepers",
            "a votes file at a gateway that is not a Raft member",
            "remove the keyword votes",
        )


def _unknown_track_mistakes(file: str, directives: Sequence[NamedDirective]) -> Iterator[Mistake]:
    tracks = [line.name for line in directives_of(directives, RequestClassLine)]
    for line in directives_of(directives, ModelLine):
        if line.track not in tracks:
            expected = f"name one of the tracks: {', '.join(tracks) or 'none'}"
            yield Mistake(
                file,
                line.line,
                f"model {line.name}",
                f"the configuration has no track {line.track!r}",
                expected,
            )


def _cells_mistakes(
    file: str, directives: Sequence[NamedDirective], first_lines: Mapping[str, int]
) -> Iterator[Mistake]:
    """The mistakes of the `cells` and `cell-hosts` lines compared with other lines."""
    for directive, other, text in REQUIRED_WITH_CELLS:
        if directive in first_lines and other not in first_lines:
            yield Mistake(
                file,
                first_lines[directive],
                directive,
                f"{directive} requires a {other} line",
                expected_line(text),
            )
    if "cells" not in first_lines:
        return
    for directive, line in directives:
        if directive in EXCLUDED_BY_CELLS and (directive != "weak-word" or line.enabled):
            yield Mistake(
                file,
                line.line,
                directive,
                f"{directive} and cells lines exclude each other",
                EXCLUDED_BY_CELLS[directive],
            )


def _duplicate_listen_addresses(file: str, directives: Sequence[NamedDirective]) -> Iterator[Mistake]:
    first_lines: dict[str, int] = {}
    for line in directives_of(directives, ListenLine):
        if line.where in first_lines and not line.where.endswith(":0"):
            text = f"two listen lines have the address {line.where}"
            yield Mistake(
                file, line.line, "listen", text, f"keep line {first_lines[line.where]} or this line"
            )
        first_lines.setdefault(line.where, line.line)
