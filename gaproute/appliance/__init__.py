"""The appliance: the gateway process of `gaproute serve`, optionally with a parent over several of them."""

from gaproute.appliance.gateway import Appliance

__all__ = ["Appliance"]
