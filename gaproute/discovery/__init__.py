"""Where the endpoint list comes from: a watched file, or a change log that is followed."""
