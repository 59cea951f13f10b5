"""The greatest second of a fleet's gateways, for bytes that are counted one message after the other."""

from collections import defaultdict

from gaproute.shared.control_budget import SecondWindow


class GreatestSecond:
    """The most bytes that one gateway had in any second, not in full seconds of the clock alone."""

    def __init__(self):
        self.windows, self.greatest = defaultdict(SecondWindow), 0

    def count(self, now, index, amount):
        """So many bytes of that gateway now."""
        window = self.windows[index]
        window.add(now, amount)
        self.greatest = max(self.greatest, window.spent(now))
