"""What processes share, decided without I/O: the weak word, which fades and only advises, and the strong
word, a permit that few keepers agreed on (`keepers/`: the agreement, `permits/`: what is agreed and the
holder's side)."""
