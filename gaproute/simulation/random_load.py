"""Random requests in a run: at spread times, something is asked of an actor."""


class RandomLoad:
    """`asks`: [(weight, ask(world, chance))], each asking by `world.ask(name, call)` or not at all. `every`:
    ns between two requests in the mean."""

    __slots__ = ("asks", "every", "chance", "asked")

    def __init__(self, asks, every, chance):
        self.asks = [ask for weight, ask in asks for _ in range(weight)]
        self.every, self.chance, self.asked = every, chance, 0

    def next(self, now):
        return now + 1 + self.chance.below(2 * self.every)

    def run(self, world):
        self.asked += 1
        self.chance.of(self.asks)(world, self.chance)
