"""A configuration of one shape of deployment rewritten for another: what `gaproute migrate` does.

The old file is kept line by line, with its comments. What the new deployment states stands in a file of the
same syntax, the shape: its lines win keyword by keyword, and tracks and tenants that it names are all there
are, each as stated there. What cannot be carried over is told with its line and why; the result is checked
like any configuration.
"""

import os
import secrets
import shlex
from typing import NamedTuple

from gaproute.config.consistency import twice
from gaproute.config.directives import DIRECTIVES
from gaproute.config.files import read_configuration
from gaproute.config.parsing import ConfigurationError, Mistake, read_lines

# What a deployment states; everything else is the operator's own and stays as it is.
STATED = ("track", "tenant", "copies", "relays", "reports", "cold", "advice", "over-share", "sizes")
NAMED = ("track", "tenant")
READABLE = 0o644  # of the file written


class Left(NamedTuple):
    """A line, or a part of one, that the new shape has no place for."""

    file: str
    line: int
    text: str
    why: str

    def __str__(self):
        return f"{self.file}:{self.line}: left behind: {self.text}; {self.why}"


def read_shape(file, text):
    """{word: {name or "": (places, keywords)}} as the shape states them. Errors: `ConfigurationError`."""
    found, mistakes, _ = read_lines(file, text, DIRECTIVES)
    mistakes += twice(file, found)
    for word, line in found:
        if word not in STATED:
            mistakes.append(
                Mistake(
                    file,
                    line.line,
                    f"{word} is no statement of a deployment",
                    f"a shape holds {', '.join(STATED)}; the rest stays in the old file",
                )
            )
    if not found and not mistakes:
        mistakes.append(Mistake(file, 0, "states nothing", "name what the new deployment states"))
    if mistakes:
        raise ConfigurationError(sorted(mistakes, key=lambda mistake: mistake.line))
    shape = {}
    for words in filter(None, _lines(text)):
        places, keywords = _parts(words)
        shape.setdefault(words[0], {})[places[0] if words[0] in NAMED else ""] = (places, keywords)
    return shape


def move(old_file, old_text, shape_file, shape_text, new_file):
    """(the new file's text, [Left]). Errors: `ConfigurationError` of either file or the result."""
    wrong, shape = [], {}
    try:
        read_configuration(old_file, old_text)
    except ConfigurationError as mistakes:
        wrong += mistakes.mistakes
    try:
        shape = read_shape(shape_file, shape_text)
    except ConfigurationError as mistakes:
        wrong += mistakes.mistakes
    if wrong:
        raise ConfigurationError(wrong)
    lines, left, used = [], [], set()

    def leave(number, what, why):
        left.append(Left(old_file, number, what, why))

    no_sizes = "sizes" in shape and shape["sizes"][""][0] == ("no",)
    no_probes = "reports" in shape and shape["reports"][""][1].get("probes") == "no"
    for number, (raw, words) in enumerate(zip(old_text.splitlines(), _lines(old_text), strict=True), 1):
        if not words:
            lines.append(raw)
            continue
        word, (places, keywords) = words[0], _parts(words)
        key = places[0] if word in NAMED else ""
        before = dict(keywords)
        if word in shape and key not in shape[word]:
            leave(number, " ".join(words), f"the new deployment has no {word} {key}")
            continue
        if word in shape:
            used.add((word, key))
            places, stated = shape[word][key]
            keywords = stated if word in NAMED else keywords | stated  # a track is stated whole
        if word == "model" and "track" in shape and keywords["track"] not in shape["track"]:
            leave(number, " ".join(words), f"the new deployment has no track {keywords['track']}")
            continue
        if word == "host" and no_sizes and keywords.pop("capacity", None) is not None:
            leave(
                number, f"host {places[0]} capacity {before['capacity']}", "no sizes of hosts are told there"
            )
        if word == "hosts-file" and no_sizes:
            leave(number, f"capacities in {places[0]}", "no sizes of hosts are told there: they count as 1")
        if word == "reach" and no_probes and keywords.pop("probe", None) is not None:
            leave(number, f"reach probe {before['probe']}", "no probes are allowed there")
        if word in shape or keywords != before:
            raw = _line(word, places, keywords) + _comment(raw, words)
        lines.append(raw)
    rest = [
        _line(word, *parts)
        for word, named in shape.items()
        for key, parts in named.items()
        if (word, key) not in used
    ]
    if rest:
        lines += ["", "# stated by the new deployment"] + rest
    text = "\n".join(lines) + "\n"
    read_configuration(new_file, text)
    return text, left


def _lines(text):
    """The words of each line."""
    return [shlex.split(raw, comments=True) for raw in text.splitlines()]


def _parts(words):
    """The words by place and {keyword: value} of a checked line."""
    count = len(DIRECTIVES[words[0]].places)
    places, rest = tuple(words[1 : count + 1]), words[count + 1 :]
    return places, dict(zip(rest[::2], rest[1::2], strict=True))


def _comment(raw, words):
    """The comment that ends a line, with the space before it."""
    for place, letter in enumerate(raw):
        try:
            if letter == "#" and shlex.split(raw[:place]) == words:
                return "  " + raw[place:]
        except ValueError:
            pass  # within quotes
    return ""


def _line(word, places, keywords):
    words = [word, *places]
    for keyword, value in keywords.items():
        words += [keyword, value]
    return " ".join(shlex.quote(each) for each in words)


class NotDurableError(OSError):
    """The file is in its place, whole; whether its name outlasts a crash of the machine is not known."""


def write_whole(path, text, replace, kept):
    """The file whole or not at all: written beside it, then put in its place. One that stands is written over
    where `replace` says so, never one of the `kept`: the way back needs them. Errors: `OSError`; where the
    file is in its place all the same, `NotDurableError`."""
    if os.path.exists(path) and any(os.path.samefile(path, file) for file in kept):
        raise FileExistsError
    folder = os.path.dirname(os.path.abspath(path))
    beside = os.path.join(folder, f".migrate-{secrets.token_hex(8)}")
    file = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, READABLE)
    try:
        try:
            _write_synced(file, text.encode())
        finally:
            os.close(file)
        if replace:
            os.replace(beside, path)
        else:
            os.link(beside, path)  # fails where the file stands, also if it came meanwhile
    finally:
        _discard(beside)
    try:
        _sync_folder(folder)
    except OSError as fault:
        raise NotDurableError(fault.errno, fault.strerror) from fault


def _write_synced(file, data):
    os.fchmod(file, READABLE)  # whatever the umask
    left = memoryview(data)
    while left:
        left = left[os.write(file, left) :]
    os.fsync(file)


def _sync_folder(folder):
    file = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(file)
    finally:
        os.close(file)


def _discard(path):
    try:
        os.unlink(path)
    except OSError:
        pass  # it was put in its place, or stays as a file of no use beside it
