"""Admission with limits that a test can reach."""

from gaproute.decisions.admission.admission import Admission
from gaproute.decisions.chance import RandomGenerator


def admission(most=10, per_address=10, descriptors=10_000):
    """Admission of so many connections."""
    return Admission(most, per_address, descriptors, RandomGenerator(1))
