"""Test the Promela models."""
