"""The real program with a second thread that takes its signals, so that none ends the main thread's wait.

A signal that arrives between the interpreter's last instruction and the wait has the same effect."""

from __future__ import annotations

import runpy
import signal
import sys
import threading

SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGUSR1)

if __name__ == "__main__":
    threading.Thread(target=threading.Event().wait, daemon=True).start()
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # of this thread
    sys.argv[0] = "violetsaddle"
    runpy.run_module("violetsaddle", run_name="__main__")
