"""Set up hypothesis so that each run tries the same examples."""

from hypothesis import settings

SAME_EXAMPLES = settings(derandomize=True, database=None, deadline=None)
