"""The measurements of a gateway, grouped for the parts that use them."""

from typing import NamedTuple

from gaproute.decisions.routing.answer_times import AnswerTimes
from gaproute.decisions.routing.host_loads import HostLoads
from gaproute.decisions.routing.outlier_detector import OutlierDetector
from gaproute.decisions.routing.silent_zones import SilentZones
from gaproute.decisions.routing.throughput import Throughput


class Measurements(NamedTuple):
    """Measurements of hosts, of functions and of the whole fleet."""

    answer_times: AnswerTimes
    host_loads: HostLoads
    outliers: OutlierDetector
    silent_zones: SilentZones
    throughput: Throughput
