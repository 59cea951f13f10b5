"""The queue of members whose updates are still to be sent."""

from collections.abc import Iterator


class UpdateQueue:
    """Names of members, ordered by how often their update was sent, then by age, the oldest first."""

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
        """Adds a name whose update is new, so it was never sent."""
        self.discard(name)
        self._insert(name, 0)

    def discard(self, name: str) -> None:
        """Removes the name, if it is in the queue."""
        sends = self._sends.pop(name, None)
        if sends is not None:
            del self._by_sends[sends][name]

    def record_sent(self, name: str, max_sends: int) -> None:
        """Counts that the update was sent; removes the name after `max_sends` times."""
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
