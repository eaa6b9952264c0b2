"""Track daemons and targets through gossip and a stream of the log."""
