"""The measurements, one module for each part of the program; each module names its own in `MEASUREMENTS`."""
