"""Drives the generators of the decision module and carries out their actions; uses no protocol or socket."""
