"""Files that outlast the process; no failure of these files stops a gateway from serving."""

from gaproute.storage.observation_store import ObservationStore, ObservationStoreError
from gaproute.storage.raft_log_file import RaftLogFile

__all__ = ["ObservationStore", "ObservationStoreError", "RaftLogFile"]
