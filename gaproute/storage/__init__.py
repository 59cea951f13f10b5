"""Files with state that survives a restart; a gateway serves requests even if these files fail."""

from gaproute.storage.observation_store import ObservationStore, ObservationStoreError
from gaproute.storage.raft_log_file import RaftLogFile

__all__ = ["ObservationStore", "ObservationStoreError", "RaftLogFile"]
