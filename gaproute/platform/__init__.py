"""One gateway as a process of the platform: environment, configuration, wiring, signals. Decides nothing."""
