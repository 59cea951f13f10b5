"""Names without order: one added, dropped or taken by chance in constant time, however many there are."""


class NameSet:
    def __init__(self):
        self.names, self.place = [], {}

    def __len__(self):
        return len(self.names)

    def __contains__(self, name):
        return name in self.place

    def add(self, name):
        if name not in self.place:
            self.place[name] = len(self.names)
            self.names.append(name)

    def drop(self, name):
        place = self.place.pop(name, None)
        if place is not None:
            last = self.names.pop()
            if last != name:
                self.names[place], self.place[last] = last, place

    def pick(self, chance):
        return self.names[chance.below(len(self.names))]

    def some(self, chance, count, but=None):
        """Up to `count` different names but that one, by chance."""
        found = {}
        for _ in range(3 * count):  # a draw may come twice; a few tries too many cost nothing
            if len(found) >= min(count, len(self.names)):
                break
            name = self.pick(chance)
            if name != but:
                found[name] = None
        return list(found)
