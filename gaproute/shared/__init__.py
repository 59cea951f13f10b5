"""What processes share: the weak word, which fades and only advises; the strong word, permits that few keepers agree on; who is up."""
