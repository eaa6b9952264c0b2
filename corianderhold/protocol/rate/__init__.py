"""Define the messages between borrowers of rate and rate stewards."""
