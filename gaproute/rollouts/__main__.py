"""The solver process: reads a planning problem from standard input and writes the plan to standard output.

Both are JSON.
"""

import sys

import msgspec

from gaproute.rollouts.plan import PlanningProblem
from gaproute.rollouts.solver import TIME_LIMIT_SECONDS, solve


def main() -> int:
    """Solves one problem. The optional command-line argument is the time limit in seconds."""
    try:
        problem = msgspec.json.decode(sys.stdin.buffer.read(), type=PlanningProblem)
        plan = solve(problem, float(sys.argv[1]) if len(sys.argv) > 1 else TIME_LIMIT_SECONDS)
    except (ImportError, ValueError) as error:
        print(f"no plan: the planning problem could not be read or solved: {error}", file=sys.stderr)
        return 1
    sys.stdout.buffer.write(msgspec.json.encode(plan))
    return 0


if __name__ == "__main__":
    sys.exit(main())
