"""Tests of quarantines."""
