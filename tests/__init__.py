"""Test corianderhold."""
