"""Atomic writes of text files: a crash leaves either the old file or the complete new file."""

import contextlib
import os
import secrets
from collections.abc import Iterable

from gaproute.config.errors import NotDurableError

FILE_MODE = 0o644


def write_file_atomically(path: str, text: str, *, replace: bool, preserved: Iterable[str]) -> None:
    """Writes a temporary file in the same directory, and then renames or links it to `path`.

    An existing file is replaced only with `replace`, and never if it is one of the `preserved` files, which
    the operator needs to return to the old configuration. Errors: `FileExistsError`, `OSError`;
    `NotDurableError` if the file has its name, but the directory could not be synced.
    """
    if os.path.exists(path) and any(os.path.samefile(path, file) for file in preserved):
        raise FileExistsError
    directory = os.path.dirname(os.path.abspath(path))
    temporary = os.path.join(directory, f".migrate-{secrets.token_hex(8)}")
    file = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, FILE_MODE)
    try:
        try:
            _write_synced(file, text.encode())
        finally:
            os.close(file)
        if replace:
            os.replace(temporary, path)
        else:
            os.link(temporary, path)  # fails if the file exists, even if it was created meanwhile
    finally:
        _remove_if_possible(temporary)
    try:
        _sync_directory(directory)
    except OSError as error:
        raise NotDurableError(error.errno, error.strerror) from error


def _write_synced(file: int, data: bytes) -> None:
    os.fchmod(file, FILE_MODE)  # the mode does not depend on the umask
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[os.write(file, remaining) :]
    os.fsync(file)


def _sync_directory(directory: str) -> None:
    file = os.open(directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(file)
    finally:
        os.close(file)


def _remove_if_possible(path: str) -> None:
    with contextlib.suppress(OSError):  # the file was renamed, or remains as an unused temporary file
        os.unlink(path)
