"""Load a fleet under random faults and check the executions at its targets."""
