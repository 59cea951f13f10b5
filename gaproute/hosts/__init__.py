"""The clients of hosts: attempts, load orders and probes, and what the end of each proves."""
