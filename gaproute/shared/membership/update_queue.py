"""The names of members whose updates are still to be sent."""

from collections.abc import Iterator


class UpdateQueue:
    """Names by how often their update was sent. Iterates over the least often sent first, then the oldest."""

    def __init__(self) -> None:
        # At index n: the names whose update was sent n times, the oldest first
        self._by_sends: list[dict[str, None]] = [{}]
        self._sends: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._sends)

    def __iter__(self) -> Iterator[str]:
        for names in self._by_sends:
            yield from names

    def put(self, name: str) -> None:
        """Adds a name with a new update, which was never sent."""
        self.discard(name)
        self._insert(name, 0)

    def discard(self, name: str) -> None:
        """Removes the name; no effect if it is not in the queue."""
        sends = self._sends.pop(name, None)
        if sends is not None:
            del self._by_sends[sends][name]

    def record_sent(self, name: str, max_sends: int) -> None:
        """Notes that the update was sent once more; after `max_sends` times the name is removed."""
        sends = self._sends.get(name)
        if sends is None:
            return
        self.discard(name)
        if sends + 1 < max_sends:
            self._insert(name, sends + 1)

    def _insert(self, name: str, sends: int) -> None:
        while len(self._by_sends) <= sends:
            self._by_sends.append({})
        self._sends[name] = sends
        self._by_sends[sends][name] = None
