"""Define what daemons exchange to spread the configuration."""
