"""Who comes in at admission and must leave it; when a process that died comes back."""
