"""The running gateway: wiring of all parts, start, reload of the host list, stop."""

from gaproute.appliance.gateway import Appliance

__all__ = ["Appliance"]
