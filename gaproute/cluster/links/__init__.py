"""The links between all processes of a cluster: streams and datagrams of any two slots, and faults on them.

The process `python -m gaproute.cluster.links` carries them (`emulator.py`; `codec.py` has its lines);
`conditions.py` decides without I/O, `faults.py` says what each fault does and how it differs from a real
network's.
"""
