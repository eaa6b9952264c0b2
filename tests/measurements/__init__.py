"""Test the computations of the measurements."""
