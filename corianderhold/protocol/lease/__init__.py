"""Messages between the candidates for a lease."""
