"""Test API keys."""
