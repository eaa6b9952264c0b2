"""Exchange frames between daemons over TCP links."""
