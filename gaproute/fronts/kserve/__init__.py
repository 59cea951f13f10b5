"""KServe v2, the Open Inference Protocol, in its REST form."""

from gaproute.fronts.kserve.front import KServeFront

__all__ = ["KServeFront"]
