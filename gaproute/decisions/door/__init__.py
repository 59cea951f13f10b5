"""Who comes in at the door and must leave it; when a process that died comes back."""
