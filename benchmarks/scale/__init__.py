"""What one of each costs as the numbers grow: measurements, fits, and the figures of the capacity page."""
