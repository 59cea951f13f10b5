"""Makes a failing plan small: takes faults out while it still fails by the same name."""

from gaproute.simulation.fault_schedule import FaultSchedule

MOST = 400  # plays at most; each costs what the run costs


def shrink(play, plan, name, most=MOST):
    """`play(plan)` returns the InvariantViolationError or None. Returns (plan, breach) of the
    smallest that was found: first the time after the breach, then faults in halves, quarters and
    single ones, then their length."""
    left = [most]

    def failing(faults, end):
        if not left[0]:
            return None
        left[0] -= 1
        breach = play(FaultSchedule(plan.seed, end, tuple(faults), plan.settle))
        return breach if breach is not None and breach.name == name else None

    faults, end, best = list(plan.faults), plan.end, None
    best = failing(faults, end)
    if best is None:
        return plan, None
    shorter = [fault for fault in faults if fault.at <= best.now]
    if (breach := failing(shorter, min(end, best.now + 1))) is not None:
        faults, end, best = shorter, min(end, best.now + 1), breach
    size = max(1, len(faults) // 2)
    while faults:
        at, taken = 0, False
        while at < len(faults):
            rest = faults[:at] + faults[at + size :]
            if (breach := failing(rest, end)) is not None:
                faults, best, taken = rest, breach, True
            else:
                at += size
        if size == 1 and not taken or not left[0]:
            break
        size = max(1, size // 2)
    return FaultSchedule(plan.seed, end, tuple(faults), plan.settle), best
