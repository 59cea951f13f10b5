"""Many real processes of the program on loopback, with a wire between them that a script makes fail."""
