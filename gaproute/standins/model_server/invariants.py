"""What must hold of a stand-in host at any time: one that breaks it judges gateways by a host that cannot be.
Each check gives its breaches as text."""


def lanes(machine):
    """No copy runs more tasks than it has lanes."""
    for name, copies in machine.pool.instances.items():
        most = copies.stand * machine.models[name].lanes
        if copies.busy > most:
            yield f"{name}: {copies.busy} tasks at work on {copies.stand} copies, {most} lanes"


def tasks_at_work(machine):
    """Each task at work holds one lane, and none waits while a lane is free."""
    held = sum(copies.busy for copies in machine.pool.instances.values())
    if held != len(machine.work) and not machine.stopped:
        yield f"{len(machine.work)} tasks at work hold {held} lanes"
    for name, copies in machine.pool.instances.items():
        if copies.waiting and copies.busy < copies.stand * machine.models[name].lanes:
            yield f"{name}: {len(copies.waiting)} wait, {copies.busy} at work on {copies.stand} copies"


def memory(machine):
    """Copies that stand or load fit into the memory."""
    held = machine.pool.held()
    if held > machine.make.copies:
        yield f"{held} copies held, {machine.make.copies} fit"


def loads(machine):
    """Each load counted for a model is under way or in line, and no more are under way than allowed."""
    shelf = machine.pool
    counted = sum(copies.loading for copies in shelf.instances.values())
    if counted != shelf.loads + len(shelf.queue):
        yield f"{counted} loads counted, {shelf.loads} under way, {len(shelf.queue)} in line"
    if not 0 <= shelf.loads <= machine.make.loads:
        yield f"{shelf.loads} loads under way, {machine.make.loads} allowed"


def bounded(machine):
    """What waits for a lane is bounded by the queue."""
    for name, copies in machine.pool.instances.items():
        if len(copies.waiting) > machine.make.queue:
            yield f"{name}: {len(copies.waiting)} wait, {machine.make.queue} allowed"


CHECKS = (lanes, tasks_at_work, memory, loads, bounded)


def breaches(machine):
    """(name of the check, text) of each breach."""
    return [(check.__name__, text) for check in CHECKS for text in check(machine)]
