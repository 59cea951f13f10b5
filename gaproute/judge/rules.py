"""Applies the five rules to the taps of a day.

What arrives through a fault on its link may have been sent earlier. What rests on the time of sending (rules
1 and 3, the window of rule 2) goes by the earliest time that the fault allows; rules 4 and 5, which count
what comes together, pass over what may have been on its way for longer than `DayTerms.transit_allowance`.
What rests on its arrival alone is not touched by faults.
"""

from collections.abc import Sequence

from gaproute.judge.day import Day, HostTaps
from gaproute.judge.drains import judge_drains
from gaproute.judge.final_answers import judge_final_answers
from gaproute.judge.load_order_rate import judge_load_order_rate
from gaproute.judge.retries import judge_retries
from gaproute.judge.slow_start import judge_slow_start
from gaproute.judge.tap_reading import TapEvent
from gaproute.judge.terms import DayTerms, Violation

RULES = (judge_final_answers, judge_retries, judge_drains, judge_slow_start, judge_load_order_rate)


def judge(
    terms: DayTerms, hosts: HostTaps, clients: Sequence[TapEvent], run: Sequence[TapEvent]
) -> list[Violation]:
    """The violations of a day, by rule and time.

    `hosts` has the taps of each host, one for each process that it had, `clients` the clients' events, `run`
    what was done to gateways and links and what the host list said when.
    """
    day = Day(hosts, clients, run)
    violations = [violation for rule in RULES for violation in rule(terms, day)]
    return sorted(violations, key=lambda violation: (violation.rule, violation.at))
