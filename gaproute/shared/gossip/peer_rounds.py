"""Chooses the peer that gets the next message: each one once in a round, in random order."""

from collections.abc import Iterable

from gaproute.shared.randomness import RandomSource, shuffle


class PeerRounds:
    """The other gateways that are up, and those that are still to be sent to in this round."""

    def __init__(self, random: RandomSource) -> None:
        self.names: list[str] = []
        self.remaining: list[str] = []  # of this round; the last one is next
        self.round_length = 0  # peers at the beginning of this round
        self._random = random
        self._members: dict[str, None] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._members

    def __len__(self) -> int:
        return len(self.names)

    def set_peers(self, names: Iterable[str]) -> None:
        """Takes over the peers that are up; the round goes on with those of its peers that still are."""
        self.names = list(names)
        self._members = dict.fromkeys(self.names)

    def next_peer(self) -> str | None:
        """The next peer; None if there is none."""
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
