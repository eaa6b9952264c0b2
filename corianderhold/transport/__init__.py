"""Implement the network transport: sockets, HTTP and the log client."""
