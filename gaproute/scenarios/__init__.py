"""Scripted days on loopback: gateways, hosts, a store and clients as processes, troubles, and a judgement."""
