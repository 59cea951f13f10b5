"""Small stand-ins for what surrounds a gateway: model hosts, the model store, clients. On the gateway's own
loop."""
