"""Messages between entries and rate stewards."""
