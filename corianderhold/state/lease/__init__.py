"""Model lease records and fold their stream."""
