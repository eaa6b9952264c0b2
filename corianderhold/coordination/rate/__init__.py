"""Hold every organisation to its rate and burst over the whole fleet."""
