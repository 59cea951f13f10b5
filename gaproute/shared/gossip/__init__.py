"""The weak word: demand, tasks in hand, room, warm copies; seen by one, told to all, fading. Face: `Weak`."""

from gaproute.shared.gossip.facts import Page, Word
from gaproute.shared.gossip.reading import Reading
from gaproute.shared.gossip.weak import Weak

__all__ = ["Page", "Reading", "Weak", "Word"]
