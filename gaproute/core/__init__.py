"""Drives the decision module's generators and carries out its wishes. Knows no protocol and no socket."""
