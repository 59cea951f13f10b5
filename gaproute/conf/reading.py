"""Files read: the charter, lists of hosts and of gateways; whole or not at all."""

from pathlib import Path

from gaproute.conf.across import across, twice
from gaproute.conf.charter import Charter
from gaproute.conf.lines import Mistake, Mistakes, read_lines
from gaproute.conf.words import HOST_WORDS, PEER_WORDS, WORDS
from gaproute.conf.words.process import Decisions


def read_charter(file, text=None):
    """The charter of a file. Errors: `Mistakes` with all that is wrong; nothing of a wrong file is used."""
    file = str(file)
    if text is None:
        text = read_text(file)
    found, mistakes, words = read_lines(file, text, WORDS)
    mistakes += across(file, found, words)
    if not mistakes:
        try:
            return Charter(file, found)
        except (ImportError, AttributeError) as fault:
            mistakes.append(Mistake(file, 0, f"decisions: {fault}", f"right would be: {Decisions.example}"))
    raise Mistakes(sorted(mistakes, key=lambda mistake: mistake.line))


def read_hosts(file, text=None):
    """The `host` lines of a host list. Errors: `Mistakes`."""
    return _read_list(file, text, "host", HOST_WORDS)


def read_peers(file, text=None):
    """The `peer` lines of a list of gateways. Errors: `Mistakes`."""
    return _read_list(file, text, "peer", PEER_WORDS)


def _read_list(file, text, word, words):
    file = str(file)
    found, mistakes, _ = read_lines(file, read_text(file) if text is None else text, words)
    mistakes += twice(file, [(word, line) for _, line in found])
    if mistakes:
        raise Mistakes(mistakes)
    return [line for _, line in found]


def read_text(file):
    """The text of a file. Errors: `Mistakes`."""
    try:
        return Path(file).read_text()
    except (OSError, UnicodeDecodeError) as fault:
        raise Mistakes([Mistake(file, 0, f"cannot be read: {fault}", "name a readable text file")]) from fault
