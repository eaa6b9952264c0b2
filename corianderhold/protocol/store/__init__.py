"""Define the interface of the platform's append-only log service."""
