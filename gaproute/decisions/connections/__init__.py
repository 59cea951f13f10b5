"""On connections to hosts: which is kept, trusted and used again."""
