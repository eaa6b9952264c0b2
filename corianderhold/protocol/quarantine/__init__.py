"""Messages about calls that crash targets."""
