"""Drives the generators of the decision module and carries out their actions; knows no protocol or socket."""
