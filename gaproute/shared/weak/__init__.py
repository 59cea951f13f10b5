"""The weak word: demand, tasks in hand, room, warm copies; seen by one, told to all, fading. Face: `Weak`."""

from gaproute.shared.weak.facts import Page, Word
from gaproute.shared.weak.reading import Reading
from gaproute.shared.weak.weak import Weak

__all__ = ["Page", "Reading", "Weak", "Word"]
