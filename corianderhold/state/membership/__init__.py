"""Model the members that a daemon knows."""
