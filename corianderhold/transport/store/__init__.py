"""Access the platform's append-only log service."""
