"""What happened: counts, the last events and structured logs."""
