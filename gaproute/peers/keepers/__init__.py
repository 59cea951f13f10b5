"""Carries what keepers and holders say between gateways; off unless configured."""
