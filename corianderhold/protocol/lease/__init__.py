"""Define the messages between a lease holder and its successors."""
