"""`python -m gaproute.cluster.spin`: uses a core and does nothing, until it is ended or its parent is."""

if __name__ == "__main__":
    while True:
        pass
