"""Mistakes that only show between lines."""

from gaproute.config.directives.fleet import CellHosts, CellsLine, HostLine, KeepersLine, Listen, Word
from gaproute.config.directives.requests import ModelLine, TrackLine
from gaproute.config.parsing import Mistake

# What a fleet in cells cannot have: {word: cure}.
WITHOUT_CELLS = {
    "host": "the hosts of cells stand in the folder of cell-hosts",
    "hosts-file": "the hosts of cells stand in the folder of cell-hosts",
    "memory": "leave it out: what is known of cells is not kept on disk",
    "weak-word": "leave it out: gateways of cells do not tell each other of hosts",
    "decisions": "leave it out: cells have decisions of their own",
}


def twice(file, found):
    """Mistakes for names that stand a second time."""
    first, mistakes = {}, []
    for word, line in found:
        if word in ("host", "track", "model", "tenant", "peer"):
            if (word, line.name) in first:
                mistakes.append(
                    Mistake(
                        file,
                        line.line,
                        f"{word} {line.name} stands a second time",
                        f"keep line {first[word, line.name]} or this",
                    )
                )
            first.setdefault((word, line.name), line.line)
    return mistakes


def keepers(file, line, found):
    """Mistakes of the `keepers` line beside the others."""
    own = next((each.name for word, each in found if word == "name"), None)
    known = {own} | {each.name for word, each in found if word == "peer"}
    if own is None:
        yield Mistake(
            file,
            line.line,
            "keepers without a name line: which of them is this gateway?",
            f"right would be: {Word.example}",
        )
    if not any(word == "peers-file" for word, _ in found):
        for name in line.names:
            if name not in known:
                yield Mistake(
                    file,
                    line.line,
                    f"keeper {name} is no peer here",
                    f"right would be: peer {name} 127.0.0.1:8091",
                )
    if own in line.names and line.votes is None:
        yield Mistake(
            file, line.line, "a keeper without a file for its votes", f"right would be: {KeepersLine.example}"
        )
    if own is not None and own not in line.names and line.votes is not None:
        yield Mistake(file, line.line, "votes at a gateway that is no keeper", "leave votes out here")


def cells(file, found, words):
    """Mistakes of the `cells` and `cell-hosts` lines beside the others."""
    for word, other, example in (
        ("cells", "cell-hosts", CellHosts.example),
        ("cell-hosts", "cells", CellsLine.example),
        ("cells", "name", Word.example),
    ):
        if word in words and other not in words:
            yield Mistake(file, words[word], f"{word} without a {other} line", f"right would be: {example}")
    if "cells" not in words:
        return
    for word, line in found:
        if word in WITHOUT_CELLS and (word != "weak-word" or line.told):
            yield Mistake(file, line.line, f"{word} beside cells", WITHOUT_CELLS[word])


def across(file, found, words):
    """What only shows between lines."""
    mistakes = twice(file, found)
    tracks = [line.name for word, line in found if word == "track"]
    for word, cure in (
        ("listen", Listen.example),
        ("track", TrackLine.example),
        ("model", ModelLine.example),
    ):
        if word not in words:
            mistakes.append(Mistake(file, 0, f"no {word} line", f"right would be: {cure}"))
    if "host" not in words and "hosts-file" not in words and "cells" not in words:
        mistakes.append(
            Mistake(file, 0, "no host and no hosts-file line", f"right would be: {HostLine.example}")
        )
    if {"host", "hosts-file"} <= {word for word, _ in found}:
        line = next(line for word, line in found if word == "host")
        mistakes.append(
            Mistake(file, line.line, "hosts stand here and in a hosts-file", "keep one of the two")
        )
    if {"peer", "peers-file"} <= words.keys():
        line = next(line for word, line in found if word == "peer")
        mistakes.append(
            Mistake(file, line.line, "peers stand here and in a peers-file", "keep one of the two")
        )
    if "peers-file" in words and "name" not in words:
        mistakes.append(
            Mistake(
                file,
                0,
                "a peers-file without a name line: which peer is this gateway?",
                f"right would be: {Word.example}",
            )
        )
    for word, line in found:
        if (word in ("keepers", "cells") or word == "weak-word" and line.told) and not any(
            other == "listen" and listen.kind == "peers" for other, listen in found
        ):
            mistakes.append(
                Mistake(
                    file,
                    line.line,
                    f"{word} without a listen peers line",
                    "right would be: listen peers 127.0.0.1:8090",
                )
            )
        if word == "keepers":
            mistakes += keepers(file, line, found)
        if word == "model" and line.track not in tracks:
            mistakes.append(
                Mistake(
                    file,
                    line.line,
                    f"model {line.name}: no track {line.track!r}",
                    f"the tracks here: {', '.join(tracks) or 'none'}",
                )
            )
    mistakes += cells(file, found, words)
    wheres = {}
    for word, line in found:
        if word == "listen" and line.where in wheres and not line.where.endswith(":0"):
            mistakes.append(
                Mistake(
                    file, line.line, f"{line.where} is listened on twice", f"see line {wheres[line.where]}"
                )
            )
        if word == "listen":
            wheres.setdefault(line.where, line.line)
    return mistakes
