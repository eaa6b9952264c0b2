"""Run fleets of daemons with only membership."""
