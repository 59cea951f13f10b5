"""Mistakes that show only between the lines of a file."""

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
NAMED_DIRECTIVES = ("host", "track", "model", "tenant", "peer")  # directives whose names stand once each
REQUIRED_DIRECTIVES = {
    "listen": ListenLine.example,
    "track": RequestClassLine.example,
    "model": ModelLine.example,
}
EXCLUSIVE_DIRECTIVES = (("host", "hosts-file"), ("peer", "peers-file"))

# What a fleet in cells cannot have, and what to do about it.
EXCLUDED_BY_CELLS = {
    "host": "the hosts of cells stand in the folder of cell-hosts",
    "hosts-file": "the hosts of cells stand in the folder of cell-hosts",
    "memory": "leave it out: what is known of cells is not stored on disk",
    "weak-word": "leave it out: gateways of cells do not gossip about hosts",
    "decisions": "leave it out: cells have decisions of their own",
}
REQUIRED_WITH_CELLS = (
    ("cells", "cell-hosts", CellHostsLine.example),
    ("cell-hosts", "cells", CellsLine.example),
    ("cells", "name", NameLine.example),
)


def cross_line_mistakes(
    file: str, found: Sequence[NamedDirective], first: Mapping[str, int]
) -> Iterator[Mistake]:
    """All that shows only between lines; `first` is the first line of each directive."""
    yield from duplicate_name_mistakes(file, found)
    yield from _missing_directives(file, first)
    yield from _exclusive_directives(file, first)
    yield from _missing_peers_address(file, found)
    yield from _raft_group_mistakes(file, found)
    yield from _unknown_track_mistakes(file, found)
    yield from _cells_mistakes(file, found, first)
    yield from _duplicate_listen_addresses(file, found)


def duplicate_name_mistakes(file: str, found: Iterable[NamedDirective]) -> Iterator[Mistake]:
    """Names that stand a second time."""
    first: dict[tuple[str, str], int] = {}
    for directive, line in found:
        if directive not in NAMED_DIRECTIVES:
            continue
        before = first.setdefault((directive, line.name), line.line)
        if before != line.line:
            stands = f"{directive} {line.name} stands a second time"
            yield Mistake(file, line.line, directive, stands, f"keep line {before} or this")


def _missing_directives(file: str, first: Mapping[str, int]) -> Iterator[Mistake]:
    for directive, text in REQUIRED_DIRECTIVES.items():
        if directive not in first:
            yield Mistake(file, 0, directive, f"no {directive} line", expected_line(text))
    if not first.keys() & {"host", "hosts-file", "cells"}:
        yield Mistake(file, 0, "host", "no host and no hosts-file line", expected_line(HostLine.example))
    if "peers-file" in first and "name" not in first:
        found = "a peers-file without a name line: which peer is this gateway?"
        yield Mistake(file, 0, "name", found, expected_line(NameLine.example))


def _exclusive_directives(file: str, first: Mapping[str, int]) -> Iterator[Mistake]:
    for directive, list_file in EXCLUSIVE_DIRECTIVES:
        if directive in first and list_file in first:
            yield Mistake(
                file,
                first[directive],
                directive,
                f"{directive}s stand here and in a {list_file}",
                KEEP_ONE_EXPECTATION,
            )


def _missing_peers_address(file: str, found: Sequence[NamedDirective]) -> Iterator[Mistake]:
    """Directives that need an address for the other gateways."""
    if any(line.kind == "peers" for line in directives_of(found, ListenLine)):
        return
    for directive, line in found:
        if directive in ("keepers", "cells") or (directive == "weak-word" and line.enabled):
            expected = expected_line("listen peers 127.0.0.1:8090")
            yield Mistake(file, line.line, directive, f"{directive} without a listen peers line", expected)


def _raft_group_mistakes(file: str, found: Sequence[NamedDirective]) -> Iterator[Mistake]:
    """Mistakes of the `keepers` line beside the others."""
    line = next(iter(directives_of(found, RaftGroupLine)), None)
    if line is None:
        return
    own = next((each.name for each in directives_of(found, NameLine)), None)
    known = {own} | {each.name for each in directives_of(found, PeerLine)}
    if own is None:
        text = "keepers without a name line: which of them is this gateway?"
        yield Mistake(file, line.line, "keepers", text, expected_line(NameLine.example))
    if not any(directive == "peers-file" for directive, _ in found):
        for name in line.names:
            if name not in known:
                expected = expected_line(f"peer {name} 127.0.0.1:8091")
                yield Mistake(file, line.line, "keepers", f"Raft member {name} is no peer here", expected)
    if own in line.names and line.votes is None:
        text = "a Raft member without a file for its votes"
        yield Mistake(file, line.line, "keepers", text, expected_line(RaftGroupLine.example))
    if own is not None and own not in line.names and line.votes is not None:
        yield Mistake(
            file, line.line, "keepers", "votes at a gateway that is no Raft member", "leave votes out here"
        )


def _unknown_track_mistakes(file: str, found: Sequence[NamedDirective]) -> Iterator[Mistake]:
    tracks = [line.name for line in directives_of(found, RequestClassLine)]
    for line in directives_of(found, ModelLine):
        if line.track not in tracks:
            expected = f"the tracks here: {', '.join(tracks) or 'none'}"
            yield Mistake(file, line.line, f"model {line.name}", f"no track {line.track!r}", expected)


def _cells_mistakes(
    file: str, found: Sequence[NamedDirective], first: Mapping[str, int]
) -> Iterator[Mistake]:
    """Mistakes of the `cells` and `cell-hosts` lines beside the others."""
    for directive, other, text in REQUIRED_WITH_CELLS:
        if directive in first and other not in first:
            yield Mistake(
                file, first[directive], directive, f"{directive} without a {other} line", expected_line(text)
            )
    if "cells" not in first:
        return
    for directive, line in found:
        if directive in EXCLUDED_BY_CELLS and (directive != "weak-word" or line.enabled):
            yield Mistake(
                file, line.line, directive, f"{directive} beside cells", EXCLUDED_BY_CELLS[directive]
            )


def _duplicate_listen_addresses(file: str, found: Sequence[NamedDirective]) -> Iterator[Mistake]:
    first: dict[str, int] = {}
    for line in directives_of(found, ListenLine):
        if line.where in first and not line.where.endswith(":0"):
            text = f"{line.where} is listened on twice"
            yield Mistake(file, line.line, "listen", text, f"see line {first[line.where]}")
        first.setdefault(line.where, line.line)
