"""Files that must survive a crash: written to a temporary file, synced, and renamed into place.

After a failed fsync the kernel may mark pages clean that never reached the disk, and a further fsync reports
success for them (fsync(2), "Errors"). So no function here repeats a failed fsync: a caller that sees an
OSError writes the whole content again, which `replace_file` does into a new file.
"""

import errno
import fcntl
import os
from contextlib import suppress
from pathlib import Path

OWNER_ONLY_MODE = 0o600  # permissions of the files
READ_CHUNK_BYTES = 1 << 20  # bytes asked for in one read
NEW_FILE_FLAGS = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC

# Errors that end once the disk has space, answers or is writable again, or descriptors and memory are free.
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
    """Lock the file `path` against other processes, by a lock file beside it.

    Returns the descriptor of the lock file; closing it releases the lock. Errors: OSError, which is
    BlockingIOError where another process has the lock.
    """
    descriptor = os.open(f"{path}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, OWNER_ONLY_MODE)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        close(descriptor)
        raise
    return descriptor


def quarantine_path(path: str | Path, wall_time: int) -> str:
    """Return the name under which a file that cannot be used is left for the operator.

    `wall_time`: ns since 1970, so that an earlier one is not overwritten.
    """
    return f"{path}.broken-{wall_time}"


def read_file(path: str | Path, limit: int | None = None) -> bytes:
    """Return the file's content, its first `limit` bytes at most. Errors: OSError."""
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
    """Write all of `data`, continuing after short writes, as of a disk that is nearly full.

    Errors: OSError; any part of the data may have been written then.
    """
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[os.write(descriptor, remaining) :]


def close(descriptor: int) -> None:
    """Close a descriptor and ignore the result.

    Linux releases it whatever close(2) reports, and only fsync shows whether the data reached the disk. An
    error here says nothing new and must not hide an earlier one.
    """
    with suppress(OSError):
        os.close(descriptor)


def remove_if_present(path: str) -> None:
    """Unlink the file if it exists. Errors: OSError."""
    with suppress(FileNotFoundError):
        os.unlink(path)


def sync_directory(directory: str | Path) -> None:
    """Make the names in the directory durable. Errors: OSError."""
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        close(descriptor)


def temporary_path(path: str | Path) -> str:
    """Return the name under which `replace_file` writes the new content."""
    return f"{path}.new"


def replace_file(path: str | Path, content: bytes) -> int:
    """Replace the file's content atomically and durably.

    Returns the descriptor of the new file, open for appending; the caller closes it. Errors: OSError; the
    file then holds either its old content or `content`, and which one survives a crash is not known.
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
    """Remove an unfinished file where possible; the next attempt truncates it otherwise."""
    with suppress(OSError):
        remove_if_present(path)
