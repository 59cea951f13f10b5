"""Files that outlast the process, none of which ever stops a gateway from serving.

| module | what it stores |
| --- | --- |
| `raft_log_file` | term, vote, log and snapshot of a Raft node (`log_records`: the encoding) |
| `cell_table_file` | the last good cell table |
| `observation_store` | what the gateway observed, in SQLite (`observation_database`, `observation_rows`) |
| `files` | atomic, durable replacement of a file |
"""

from gaproute.storage.observation_store import ObservationStore, ObservationStoreError
from gaproute.storage.raft_log_file import RaftLogFile

__all__ = ["ObservationStore", "ObservationStoreError", "RaftLogFile"]
