"""The host list as a log of numbered changes, followed by server-sent events."""
