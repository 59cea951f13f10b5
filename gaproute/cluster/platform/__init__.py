"""Clusters of the platform's gateways, `gaproute.platform`, their hosts, change log and clients
(`play.PlatformHarness`)."""
