"""The host list as a change log of numbered events, received as server-sent events."""
