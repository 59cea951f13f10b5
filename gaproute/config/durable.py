"""A text file written so that a crash leaves the old one or the new one, whole."""

import contextlib
import os
import secrets
from collections.abc import Iterable

from gaproute.config.errors import NotDurableError

FILE_MODE = 0o644  # of the file written


def write_file_atomically(path: str, text: str, *, replace: bool, preserved: Iterable[str]) -> None:
    """Writes the file whole or not at all: beside its place first, then put there.

    A file that exists is written over only with `replace`, and never one of the `preserved`: the way back
    needs them. Errors: `FileExistsError`, `OSError`; where the file is in its place all the same,
    `NotDurableError`.
    """
    if os.path.exists(path) and any(os.path.samefile(path, file) for file in preserved):
        raise FileExistsError
    folder = os.path.dirname(os.path.abspath(path))
    beside = os.path.join(folder, f".migrate-{secrets.token_hex(8)}")
    file = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, FILE_MODE)
    try:
        try:
            _write_synced(file, text.encode())
        finally:
            os.close(file)
        if replace:
            os.replace(beside, path)
        else:
            os.link(beside, path)  # fails where the file exists, also if it came meanwhile
    finally:
        _remove_if_possible(beside)
    try:
        _sync_directory(folder)
    except OSError as error:
        raise NotDurableError(error.errno, error.strerror) from error


def _write_synced(file: int, data: bytes) -> None:
    os.fchmod(file, FILE_MODE)  # whatever the umask
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[os.write(file, remaining) :]
    os.fsync(file)


def _sync_directory(folder: str) -> None:
    file = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(file)
    finally:
        os.close(file)


def _remove_if_possible(path: str) -> None:
    with contextlib.suppress(OSError):  # it was put in its place, or stays as a file of no use beside it
        os.unlink(path)
