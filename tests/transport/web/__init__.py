"""Test serving and sending HTTP."""
