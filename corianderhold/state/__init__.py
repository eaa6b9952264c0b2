"""Hold what a daemon knows, without any input or output."""
