"""A load tool: many held connections, open-loop arrivals, storms and slow writers, by a seeded script."""

from gaproute.load.generator import LoadGenerator
from gaproute.load.results import read_result, summary_rows
from gaproute.load.script import read_load_script

__all__ = ["LoadGenerator", "summary_rows", "read_load_script", "read_result"]
