"""Model the answers of the platform's append-only log service."""
