"""The same plan by a solver (HiGHS), optional: `requirements-rollouts.txt`. It is slow, so it runs in a
process of its own, `python -m gaproute.rollouts`, which reads a PlanningProblem and writes a CopyPlan;
who waits for it has a bound of its own."""

from gaproute.rollouts.plan import CopyPlan

LIMIT = 2.0  # s of solving: a plan is for half a minute
GAP = 0.01  # of the value: a forecast is worse than that
ROUND = 1e-4  # what a solver leaves of a whole lane
TIE = 0.001  # of a lane: what a copy costs that brings nothing


def solve(problem, limit=LIMIT):
    """A CopyPlan, or None where none was found in time. Errors: ImportError without the solver."""
    import highspy

    model = highspy.Highs()
    model.setOptionValue("output_flag", False)
    model.setOptionValue("time_limit", limit)
    model.setOptionValue("mip_rel_gap", GAP)
    model.setOptionValue("threads", 1)
    slots, stand = range(problem.slots), set(problem.standing)
    caps = [problem.caps(slot) for slot in slots]
    pairs = [
        (want, host) for want in problem.wants for host in problem.spare if problem.room[host] >= want.room
    ]
    lanes, begins = {}, {}
    for want, host in pairs:
        # A copy begins in one slot at most and stays; one that stands begins in the first without a load.
        key = want.name, host
        firsts = [0] if key in stand else list(slots)
        begins[key] = {
            first: model.addVariable(
                0,
                1,
                -TIE if key in stand else -problem.load * int(problem.spare[host][first]),
                type=highspy.HighsVarType.kInteger,
            )
            for first in firsts
        }
        if len(firsts) > 1:
            model.addConstr(sum(begins[key].values()) <= 1)
        for slot in slots:
            spare = int(problem.spare[host][slot])
            lanes[key, slot] = model.addVariable(0, spare, 1.0)
            stands = sum(begins[key][first] for first in firsts if first <= slot)
            model.addConstr(lanes[key, slot] <= spare * stands)
    for host in problem.spare:
        here = [(want, key) for want, other in pairs if other == host for key in [(want.name, host)]]
        if not here:
            continue
        model.addConstr(
            sum(want.room * var for want, key in here for var in begins[key].values()) <= problem.room[host]
        )
        for slot in slots:
            model.addConstr(sum(lanes[key, slot] for _, key in here) <= int(problem.spare[host][slot]))
    for slot in slots:
        for want in problem.wants:
            mine = [lanes[(want.name, host), slot] for other, host in pairs if other is want]
            if mine:
                model.addConstr(sum(mine) <= caps[slot][want.name])
        orders = [vars_[slot] for key, vars_ in begins.items() if key not in stand and slot in vars_]
        if orders:
            model.addConstr(sum(orders) <= problem.loads)
    model.changeObjectiveSense(highspy.ObjSense.kMaximize)
    model.run()
    if model.getInfo().primal_solution_status != 2:
        return None
    return _plan(problem, model.getSolution().col_value, begins, lanes)


def _plan(problem, values, begins, lanes):
    copies, given = [], []
    for key, vars_ in begins.items():
        for first, var in vars_.items():
            if values[var.index] > 0.5:
                copies.append((*key, first))
                row = [int(values[lanes[key, slot].index] + ROUND) for slot in range(problem.slots)]
                given.append((*key, row))
    copies.sort(key=lambda copy: copy[2])
    return CopyPlan(copies, given)
