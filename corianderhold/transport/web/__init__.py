"""Serve and send HTTP."""
