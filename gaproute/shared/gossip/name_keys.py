"""Caches the keys of names, so that the names in a request are not hashed each time."""

from gaproute.shared.gossip.messages import name_key

MAX_CACHED_NAMES = 65_536  # the cache is cleared when it is full


class NameKeys:
    """A bounded cache of keys by host or function name."""

    def __init__(self) -> None:
        self.keys: dict[str, int] = {}

    def key(self, name: str) -> int:
        """The key of a host or function name."""
        found = self.keys.get(name)
        if found is None:
            if len(self.keys) >= MAX_CACHED_NAMES:
                self.keys.clear()
            found = self.keys[name] = name_key(name)
        return found
