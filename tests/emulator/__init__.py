"""Test the emulated parts of the platform."""
