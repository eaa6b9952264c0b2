"""Issue API keys and authenticate callers by them."""
