"""The gateway process: makes all parts, starts and stops them, and reloads the host list."""

from gaproute.appliance.gateway import Appliance

__all__ = ["Appliance"]
