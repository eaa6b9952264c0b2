"""Move bytes: sockets, HTTP servers and clients, the log service's client."""
