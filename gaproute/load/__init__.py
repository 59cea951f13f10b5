"""A load tool: many held connections, open-loop arrivals, storms and slow writers, by a seeded script."""

from gaproute.load.crowd import Crowd
from gaproute.load.results import compare, read_result
from gaproute.load.script import read_load

__all__ = ["Crowd", "compare", "read_load", "read_result"]
