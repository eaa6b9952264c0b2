"""Model lease records and fold the stream that holds them."""
