"""The wire between the harness's processes: streams and datagrams of any pair of seats, and faults on their
way.

Face: the process `python -m gaproute.cluster.links` (`__main__.py`: what it reads and says); `conditions.py`
decides without I/O, `faults.py` says what each fault does and how it differs from a real network's.
"""
