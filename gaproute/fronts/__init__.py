"""What clients speak to: one package for each protocol. Bytes become calls and finals become bytes; no
choices."""
