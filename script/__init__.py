"""Hold the maintenance programs of the repository."""
