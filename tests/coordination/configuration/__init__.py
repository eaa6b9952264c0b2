"""Tests of configuration replication."""
