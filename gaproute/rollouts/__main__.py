"""One problem from standard input, its plan to standard output, both JSON: the solver's own process."""

import sys

import msgspec

from gaproute.rollouts.plan import PlanningProblem
from gaproute.rollouts.solver import LIMIT, solve


def main():
    try:
        problem = msgspec.json.decode(sys.stdin.buffer.read(), type=PlanningProblem)
        plan = solve(problem, float(sys.argv[1]) if len(sys.argv) > 1 else LIMIT)
    except (ImportError, ValueError) as fault:
        print(f"no plan: {fault}", file=sys.stderr)
        return 1
    sys.stdout.buffer.write(msgspec.json.encode(plan))
    return 0


if __name__ == "__main__":
    sys.exit(main())
