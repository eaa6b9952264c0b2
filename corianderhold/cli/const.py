"""Name the exit codes of the command line."""

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
