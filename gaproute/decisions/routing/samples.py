"""The type of a measured value with the time of its measurement."""

Sample = tuple[int, float]  # (when it was measured in ns, value); plain, as several are made for each answer
