"""Define the exit codes, time-outs and limits of the command line."""

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3
EXIT_CODES = {
    "accepted": EXIT_OK,
    "in_force": EXIT_OK,
    "refused": EXIT_FAILED,
    "unknown": EXIT_UNKNOWN,
}

TOKEN_VARIABLE = "CORIANDERHOLD_TOKEN"
CONNECT_TIMEOUT_S = 3.0
ANSWER_TIMEOUT_S = 30.0
ANSWER_BYTES_MAX = 64 * 1024 * 1024
READ_BACK_ATTEMPTS = 5
READ_BACK_PAUSE_S = 1.0
REBASES_MAX = 5
CHANGE_ID_BYTES = 16
