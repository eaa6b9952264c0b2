"""Keep calls that crash their targets from reaching further ones."""
