"""The sources of the host list: a watched file, or a change log that is followed."""
