"""`sparline serve`: run one instance."""

import argparse
import signal
import sys

import gevent
from gevent.hub import Hub

from sparline._logging import configure_logging
from sparline.cli._exit_codes import ExitCode
from sparline.cli._settings import load_settings
from sparline.instance import Instance


def serve(options: argparse.Namespace) -> ExitCode:
    """Serve until a signal; SIGTERM drains first, a second one stops at once."""
    loaded = load_settings(options.settings)
    if loaded.is_err():
        print(loaded.unwrap_err(), file=sys.stderr)
        return ExitCode.REFUSED
    settings = loaded.unwrap()
    configure_logging(settings.log_level.value, settings.instance_id)
    stop_on_broken_invariants()
    instance = Instance(settings)
    gevent.signal_handler(signal.SIGTERM, _leave, instance)
    gevent.signal_handler(signal.SIGINT, _leave, instance)
    try:
        instance.start()
    except OSError as error:
        print(
            f"{options.settings}: expected free addresses under $.listen, found: {error}",
            file=sys.stderr,
        )
        return ExitCode.REFUSED
    instance.wait()
    return ExitCode.OK


def stop_on_broken_invariants() -> None:
    """Let a failed assertion in any task end the process; all else is a value or logged."""
    Hub.SYSTEM_ERROR = (*Hub.SYSTEM_ERROR, AssertionError)


def _leave(instance: Instance) -> None:
    if instance.membership.state.value == "leaving":
        instance.stop()
        return
    instance.drain()
    instance.stop()
