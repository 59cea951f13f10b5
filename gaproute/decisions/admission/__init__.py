"""Decides on connections of clients and on restarts of processes; performs no I/O.

Callers pass in the time and the source of random numbers.
"""
