"""Reads the operating system's limit on open descriptors."""

import resource


def descriptor_limit() -> int:
    """The process's soft limit on open descriptors."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]
