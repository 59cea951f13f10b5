"""The operating system's bound on open descriptors."""

import resource


def descriptors():
    """The process's limit on open descriptors."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]
