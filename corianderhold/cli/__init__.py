"""Implement the command line interface."""
