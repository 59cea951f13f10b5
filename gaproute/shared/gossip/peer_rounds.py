"""Chooses the peer that gets the next message: in each round every peer once, in random order."""

from collections.abc import Iterable

from gaproute.shared.randomness import RandomSource, shuffle


class PeerRounds:
    """The peers that are up, and those that have not yet been chosen in the current round."""

    def __init__(self, random: RandomSource) -> None:
        self.names: list[str] = []
        self.remaining: list[str] = []  # peers not yet chosen in this round; the last one is next
        self.round_length = 0  # number of peers at the beginning of this round
        self._random = random
        self._members: dict[str, None] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._members

    def __len__(self) -> int:
        return len(self.names)

    def set_peers(self, names: Iterable[str]) -> None:
        """Replaces the peers that are up. Lost peers leave the current round; new ones join the next."""
        self.names = list(names)
        self._members = dict.fromkeys(self.names)

    def next_peer(self) -> str | None:
        """The next peer; None if there are no peers."""
        for _ in range(2):
            while self.remaining:
                name = self.remaining.pop()
                if name in self._members:
                    return name
            self._begin_round()
        return None

    def _begin_round(self) -> None:
        self.remaining, self.round_length = list(self.names), len(self.names)
        shuffle(self.remaining, self._random)
