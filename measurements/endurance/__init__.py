"""Load a fleet for long under random faults and judge what ran at its targets."""
