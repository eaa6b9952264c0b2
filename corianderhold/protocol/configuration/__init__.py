"""Define the messages with which daemons synchronise the configuration."""
