"""gaproute: a router before workers that keep only some of many functions loaded."""
