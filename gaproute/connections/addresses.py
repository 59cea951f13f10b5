"""How many connections each client address has, under small numbers that parked connections can keep."""

from array import array


class AddressCounts:
    """Counts connections by address; an address has a number, its place, while it has any connection."""

    def __init__(self):
        self.places, self.free = {}, []  # address: its place below; places to be given out again
        self.counts, self.names = array("i"), []

    def count(self, address):
        """The connections of that address."""
        place = self.places.get(address)
        return self.counts[place] if place is not None else 0

    def enter(self, address):
        """Counts one more connection of that address and returns the address's place."""
        place = self.places.get(address)
        if place is None:
            place = self._new_place(address)
        self.counts[place] += 1
        return place

    def _new_place(self, address):
        if self.free:
            place = self.free.pop()
            self.names[place] = address
        else:
            place = len(self.names)
            self.names.append(address)
            self.counts.append(0)
        self.places[address] = place
        return place

    def leave(self, place):
        """Counts one connection less; the place of an address without any is free for another."""
        self.counts[place] -= 1
        if not self.counts[place]:
            del self.places[self.names[place]]
            self.names[place] = None
            self.free.append(place)
