"""The sources of the host list: a watched file or a followed change log."""
