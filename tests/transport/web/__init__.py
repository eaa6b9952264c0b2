"""Test the HTTP server and client."""
