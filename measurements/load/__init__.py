"""Generate load with phases over a fleet and work out how it was served."""
