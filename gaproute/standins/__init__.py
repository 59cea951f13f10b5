"""Stand-ins for what surrounds a gateway: hosts, model store, change log, clients. All run on its loop."""
