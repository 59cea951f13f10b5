"""The five rules, judged from the traffic on the sockets of hosts and clients. Imports nothing that it
judges."""

from gaproute.judge.rules import Broken, Facts, judge

__all__ = ["Broken", "Facts", "judge"]
