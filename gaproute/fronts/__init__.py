"""The fronts that serve clients, one package for each protocol.

A front decodes requests to calls and encodes final answers; it makes no decisions.
"""
