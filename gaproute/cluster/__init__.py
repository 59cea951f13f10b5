"""Plays scripts with many real processes of the program on loopback, and faults on the links between them."""
