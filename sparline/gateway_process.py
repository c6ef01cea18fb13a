"""Run one instance on the users' platform: `python -m sparline.gateway_process`.

A module of its own, so that nothing is imported before the standard library is patched.
"""

import signal

# Settings that change during the start are read by it; the signal must not end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from gevent import monkey

monkey.patch_all()

import sys

from sparline.gateway import run, settings_path

if __name__ == "__main__":
    sys.exit(run(settings_path()))
