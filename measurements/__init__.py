"""Measure the product; each module is one measurement with a `main` function."""
