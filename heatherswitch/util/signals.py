"""Signals that a program handles in its event loop."""

import signal

# Their default action ends the process at once.
HANDLED_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT, signal.SIGHUP})


def hold_signals() -> None:
    """Lets the handled signals wait until :func:`release_signals`.

    Called while their handlers are not installed: at the start and at the end.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def release_signals() -> None:
    """Delivers the handled signals, also those that arrived meanwhile."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
