"""Files that have to outlast a crash: written whole, synced, and put in place by a rename.

After a failed fsync the kernel may hold the pages as clean that never reached the disk, and a further fsync
reports success for them (fsync(2), "Errors"). So nothing here syncs a second time what failed once: whoever
sees an OSError writes everything anew, which `replace_file` does into a new file.
"""

import errno
import os
from pathlib import Path

OWNER_ONLY = 0o600
READ_CHUNK = 1 << 20  # in one call
NEW_FILE_FLAGS = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC

# What passes once the disk has space, answers or may be written again, or descriptors and memory are free.
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


def read_file(path: str | Path, most: int | None = None) -> bytes:
    """The file's bytes, `most` of them at most. Errors: OSError."""
    file = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    content = bytearray()
    try:
        while most is None or len(content) < most:
            left = READ_CHUNK if most is None else min(READ_CHUNK, most - len(content))
            read = os.read(file, left)
            if not read:
                break
            content += read
    finally:
        close(file)
    return bytes(content)


def write_all(file: int, data: bytes) -> None:
    """Write all of it: a short write, as on a disk that is just full, is continued until the error comes.
    Errors: OSError; then any part of it may have been written."""
    left = memoryview(data)
    while left:
        left = left[os.write(file, left) :]


def close(file: int) -> None:
    """Close a descriptor. Linux releases it whatever close reports, and whether the bytes reached the disk is
    what fsync was asked; so a failure says nothing new and must not hide what went wrong before."""
    try:
        os.close(file)
    except OSError:
        pass


def remove_if_present(path: str) -> None:
    """Unlink the file if it is there. Errors: OSError."""
    try:
        os.unlink(path)
    except FileNotFoundError:
        pass


def sync_directory(folder: str | Path) -> None:
    """Make the names in the folder durable. Errors: OSError."""
    file = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(file)
    finally:
        close(file)


def replace_file(path: str | Path, content: bytes) -> int:
    """Make `content` the file's content, durably; its descriptor, open for appending, is the caller's.

    Written beside, synced, renamed, and the folder synced. Errors: OSError; then the file holds either what
    it held or `content`, and which of them outlasts a crash is not known.
    """
    beside = f"{path}.new"
    file = os.open(beside, NEW_FILE_FLAGS, OWNER_ONLY)
    try:
        write_all(file, content)
        os.fsync(file)
        os.rename(beside, path)
        sync_directory(Path(path).parent)
    except BaseException:
        close(file)
        _free_space(beside)
        raise
    return file


def _free_space(path: str) -> None:
    """Give back the space of a file that was not finished, where that can be done."""
    try:
        remove_if_present(path)
    except OSError:
        pass  # the next attempt truncates it
