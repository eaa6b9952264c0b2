"""Configure hypothesis to try the same examples on each run."""

from hypothesis import settings

SAME_EXAMPLES = settings(derandomize=True, database=None, deadline=None)
