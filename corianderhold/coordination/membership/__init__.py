"""Keep track of daemons and targets with gossip and a stream of the log."""
