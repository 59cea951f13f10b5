"""The client of hosts that speak KServe v2 over HTTP/1.1, one request at a time on a connection."""
