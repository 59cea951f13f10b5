"""A measurement with its time."""

Sample = tuple[int, float]  # (when it was measured in ns, value); plain, as several are made for each answer
