"""File operations that survive a crash: write to a temporary file, sync it, and rename it into place.

After a failed fsync the kernel may mark pages clean that never reached the disk, and a further fsync reports
success for them (fsync(2), "Errors"). So no function here repeats a failed fsync. After an OSError the caller
has to write the whole content again with `replace_file`, which uses a new file.
"""

import errno
import fcntl
import os
from contextlib import suppress
from pathlib import Path

OWNER_ONLY_MODE = 0o600
READ_CHUNK_BYTES = 1 << 20  # the largest single read
NEW_FILE_FLAGS = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC

# Errors that end once the disk has space, responds or is writable, or descriptors or memory are free again.
TRANSIENT_ERRNOS = frozenset(
    {
        errno.ENOSPC,
        errno.EDQUOT,
        errno.EIO,
        errno.EROFS,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOMEM,
        errno.ENOLCK,
    }
)


def lock_file(path: str | Path) -> int:
    """Lock the file `path` against other processes by a lock file `path`.lock.

    Returns the descriptor of the lock file; closing it releases the lock. Errors: OSError, which is
    BlockingIOError if another process holds the lock.
    """
    descriptor = os.open(f"{path}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, OWNER_ONLY_MODE)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        close(descriptor)
        raise
    return descriptor


def quarantine_path(path: str | Path, wall_time: int) -> str:
    """Return the name to which an unusable file is renamed for the operator.

    `wall_time` (ns since 1970) makes the name unique, so that no earlier quarantined file is overwritten.
    """
    return f"{path}.broken-{wall_time}"


def read_file(path: str | Path, limit: int | None = None) -> bytes:
    """Return the content of the file, or its first `limit` bytes. Errors: OSError."""
    descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    content = bytearray()
    try:
        while limit is None or len(content) < limit:
            count = READ_CHUNK_BYTES if limit is None else min(READ_CHUNK_BYTES, limit - len(content))
            chunk = os.read(descriptor, count)
            if not chunk:
                break
            content += chunk
    finally:
        close(descriptor)
    return bytes(content)


def write_all(descriptor: int, data: bytes) -> None:
    """Write all of `data`, continuing after short writes, such as on a disk that is nearly full.

    Errors: OSError, after which any part of the data may have been written.
    """
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[os.write(descriptor, remaining) :]


def close(descriptor: int) -> None:
    """Close a descriptor and ignore errors.

    Linux releases the descriptor even if close(2) reports an error, and only fsync tells whether the data
    reached the disk. An error of close gives no information and must not hide an earlier error.
    """
    with suppress(OSError):
        os.close(descriptor)


def remove_if_present(path: str) -> None:
    """Unlink the file if it exists. Errors: OSError."""
    with suppress(FileNotFoundError):
        os.unlink(path)


def sync_directory(directory: str | Path) -> None:
    """Make the entries of the directory durable. Errors: OSError."""
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        close(descriptor)


def temporary_path(path: str | Path) -> str:
    """Return the name of the temporary file to which `replace_file` writes."""
    return f"{path}.new"


def replace_file(path: str | Path, content: bytes) -> int:
    """Replace the file's content atomically and durably.

    Returns the descriptor of the new file, open for appending; the caller closes it. Errors: OSError,
    after which the file has either its old content or `content`, and either may survive a crash.
    """
    temporary = temporary_path(path)
    descriptor = os.open(temporary, NEW_FILE_FLAGS, OWNER_ONLY_MODE)
    try:
        write_all(descriptor, content)
        os.fsync(descriptor)
        os.rename(temporary, path)
        sync_directory(Path(path).parent)
    except BaseException:
        close(descriptor)
        _remove_if_possible(temporary)
        raise
    return descriptor


def _remove_if_possible(path: str) -> None:
    """Try to remove an unfinished temporary file; if it stays, the next write truncates it."""
    with suppress(OSError):
        remove_if_present(path)
