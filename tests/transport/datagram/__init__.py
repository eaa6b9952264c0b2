"""Test UDP datagrams."""
