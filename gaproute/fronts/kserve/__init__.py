"""The fronts for the REST form of KServe v2, the Open Inference Protocol."""

from gaproute.fronts.kserve.front import KServeFront

__all__ = ["KServeFront"]
