"""Implement the administration API for operators."""
