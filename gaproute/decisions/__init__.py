"""Decisions, one package for each subject, without I/O; times and random numbers are arguments."""
