"""The measurements of a gateway, as the parts beside them are given them."""

from typing import NamedTuple

from gaproute.decisions.routing.answer_times import AnswerTimes
from gaproute.decisions.routing.host_loads import HostLoads
from gaproute.decisions.routing.outlier_detector import OutlierDetector
from gaproute.decisions.routing.silent_zones import SilentZones
from gaproute.decisions.routing.throughput import Throughput


class Measurements(NamedTuple):
    """What was measured of hosts, functions and the fleet."""

    answer_times: AnswerTimes
    loads: HostLoads
    outliers: OutlierDetector
    silent_zones: SilentZones
    throughput: Throughput
