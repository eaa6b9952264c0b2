"""Define gossip datagrams and the messages of a full synchronisation."""
