"""Run one gateway instance: `python -m sparline.gateway_process`.

This is a separate module so that the standard library is patched before anything else is imported.
"""

import signal

# SIGHUP requests a reload of the settings. Startup reads them anyway, so it is ignored until then;
# its default action would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import gc

# Objects created while modules load are never garbage, so collecting them only takes time.
gc.disable()

from gevent import events, monkey

# Patching would search all installed distributions for plugins about ten times, which takes a good
# part of the startup time. No plugins are used.
events.notify_and_call_entry_points = events.notify
monkey.patch_all()

import os
import sys

from sparline.gateway import run, settings_path

gc.freeze()
gc.enable()

if __name__ == "__main__":
    exit_code = run(settings_path())
    sys.stdout.flush()
    sys.stderr.flush()
    # Skips the interpreter's teardown. A planned stop uses most of its grace period, and a process
    # that exceeds it is killed. Teardown takes another 0.06 s of a whole core (least of ten exits).
    os._exit(exit_code)
