"""State on disk."""

from gaproute.storage.observation_store import ObservationStore, ObservationStoreError
from gaproute.storage.raft_log_file import RaftLogFile

__all__ = ["ObservationStore", "ObservationStoreError", "RaftLogFile"]
