"""The five rules, judged from the traffic on the sockets of hosts and clients. Imports nothing that it
judges."""

from gaproute.judge.facts import UNTIMED, Broken, Facts, Kind, kill_after
from gaproute.judge.rules import judge

__all__ = ["UNTIMED", "Broken", "Facts", "Kind", "judge", "kill_after"]
