"""Choices, one folder for each subject: no I/O, the clock and the chance handed in."""
