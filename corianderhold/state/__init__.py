"""Model the state of a daemon; this layer does no I/O."""
