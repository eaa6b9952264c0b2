"""Control overload in a service call graph."""
