"""Send and receive UDP datagrams."""
