"""Provide the repository's build, test and maintenance scripts."""
