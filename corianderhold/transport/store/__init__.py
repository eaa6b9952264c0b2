"""Speak to the platform's append-only log service."""
