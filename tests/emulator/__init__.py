"""Test the emulated platform components."""
