"""Clusters of the platform's gateways, `gaproute.platform`, with their hosts, change log and clients."""
