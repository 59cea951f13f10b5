"""Many real processes of the program on loopback, with links between them that a script makes fail."""
