"""Overload control for service call graphs."""

# Imported before anything else, so that it reads when the process started.
import corianderhold.clock  # noqa: F401
