"""Admission with limits that are low enough for tests to reach."""

from gaproute.decisions.admission.admission import Admission
from gaproute.decisions.chance import RandomGenerator


def admission(max_connections=10, max_per_address=10, descriptors=10_000):
    return Admission(max_connections, max_per_address, descriptors, RandomGenerator(1))
