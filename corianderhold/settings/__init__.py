"""Load and validate the INI settings of one process."""
