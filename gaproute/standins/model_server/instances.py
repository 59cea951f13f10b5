"""The copies on one host: what stands, what loads, what goes when a load needs the room or after `keep`.

A load is a fetch from the store, then a start. `fetch(model)` gives a promise of whether it came; no sockets
here.
"""

from gaproute.standins.model_server.profiles import SECOND, ModelInstances

FETCHES = 8  # tries of a fetch that the store turns away, until the load has failed
PAUSE = 0.1, 0.4  # seconds between them, by chance: hosts that are turned away do not come back as one
MOST = 16  # copies of one model that an order can ask for


class InstancePool:
    """`came(model, copies)` when a copy stands, `failed(copies)` when a load has come to nothing."""

    def __init__(self, loop, make, random, fetch, tap, came, failed):
        self.loop, self.make, self.random, self.fetch, self.tap = loop, make, random, fetch, tap
        self.came, self.failed = came, failed
        self.instances = {}  # model name: ModelInstances
        self.loads, self.queue = 0, []
        self.spawn = loop.spawn

    def of(self, name):
        return self.instances.setdefault(name, ModelInstances())

    def held(self):
        """Copies that take memory."""
        return sum(copies.stand + copies.loading for copies in self.instances.values())

    def waiting(self):
        return sum(len(copies.waiting) for copies in self.instances.values())

    def warm_up(self, names):
        """A host that ran before holds what it was asked for lately."""
        for name in self.random.sample(names, max(0, min(len(names), self.make.copies - 2))):
            copies = self.of(name)
            copies.stand, copies.idle_since = 1, self.loop.now()

    def load(self, model):
        """Begins one load, or puts it in line; False where no room can be made."""
        if self.held() >= self.make.copies and not self.make_room():
            return False
        self.of(model.name).loading += 1
        self.queue.append(model)
        self.begin()
        return True

    def make_room(self):
        idle = [
            (copies.idle_since, name)
            for name, copies in self.instances.items()
            if copies.stand and not copies.busy and not copies.waiting
        ]
        if idle:
            self.instances[min(idle)[1]].stand -= 1
        return bool(idle)

    def begin(self):
        while self.queue and self.loads < self.make.loads:
            self.loads += 1
            self.spawn(self.loading(self.queue.pop(0)))

    def loading(self, model):
        """Fetch, then start; a fetch that is turned away is tried again a little later."""
        for _ in range(FETCHES):
            fetched = yield self.fetch(model)
            if fetched:
                break
            yield self.loop.sleep(round(self.random.uniform(*PAUSE) * SECOND))
        else:
            self.load_failed(model)
            return
        yield self.loop.sleep(round(model.start / self.make.speed))
        copies = self.instances[model.name]
        self.loads -= 1
        copies.loading -= 1
        copies.stand += 1
        copies.idle_since = self.loop.now()
        self.tap.note("loaded", model=model.name)
        self.came(model, copies)
        self.begin()

    def load_failed(self, model):
        copies = self.instances[model.name]
        self.loads -= 1
        copies.loading -= 1
        self.tap.note("load failed", model=model.name)
        self.failed(copies)
        self.begin()

    def order(self, model, count):
        """At least `count` copies are to stand, or `MOST`: False where there is no room for all of them."""
        copies = self.of(model.name)
        copies.idle_since = self.loop.now()
        while copies.stand + copies.loading < min(count, MOST):
            if not self.load(model):
                return False
        return True

    def unload_idle(self, name):
        copies = self.instances.get(name)
        if copies is not None and not copies.busy and not copies.waiting:
            copies.stand = 0

    def let_go(self, now):
        """Idle copies go after `keep`."""
        for copies in self.instances.values():
            if (
                copies.stand
                and not copies.busy
                and not copies.waiting
                and now - copies.idle_since > self.make.keep
            ):
                copies.stand = 0
