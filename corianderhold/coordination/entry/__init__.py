"""Take calls in, choose an owner and hand each call over."""
