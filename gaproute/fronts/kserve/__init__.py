"""KServe v2, the Open Inference Protocol, in its REST form."""

from gaproute.fronts.kserve.front import Front

__all__ = ["Front"]
