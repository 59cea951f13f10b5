"""Clusters of the platform's gateways, `gaproute.node`, their hosts, change log and clients
(`play.NodeHarness`)."""
