"""A measured value with the time of its measurement."""

Sample = tuple[int, float]  # (time in ns, value); a plain tuple, as each answer adds several
