"""Rigs of the platform's gateways, `gaproute.node`, with their hosts, change log and clients (`play.NodeRig`)."""
