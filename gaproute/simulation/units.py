"""The unit of the simulation's rates and probabilities: they are whole millionths."""

MILLION = 1_000_000
