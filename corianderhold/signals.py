"""Hold SIGHUP back while the daemon starts."""

import signal


def hold_reloads() -> None:
    """
    Keep SIGHUP pending until `release_reloads`; without a handler it ends the process.

    Threads that are started meanwhile never receive it.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def release_reloads() -> None:
    """Deliver SIGHUP from now on, also one that is pending, to the calling thread."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
