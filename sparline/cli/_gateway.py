"""`sparline gateway`: run one instance on the users' platform, or check its settings."""

import argparse
import signal
import sys

from sparline.cli._exit_codes import ExitCode


def gateway(options: argparse.Namespace) -> ExitCode:
    """Serve until SIGTERM, or only check the settings."""
    # Settings that change during the start are read by it; the signal must not end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Only this command needs these parts; the others start without them.
    from sparline.gateway import load_settings, run, settings_path

    path = options.settings or settings_path()
    if options.check:
        loaded = load_settings(path)
        if loaded.is_err():
            print(loaded.unwrap_err(), file=sys.stderr)
            return ExitCode.REFUSED
        print(f"{path}: good")
        return ExitCode.OK
    return ExitCode(run(path))
