"""What happened: counts, the last events and structured logs."""
from gaproute.record.record import Record

__all__ = ["Record"]
