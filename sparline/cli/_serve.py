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
from sparline.routing import EstimatePolicy, Policy


def serve(options: argparse.Namespace) -> ExitCode:
    """Serve until a signal; SIGTERM drains first, a second one stops at once."""
    return serve_with(options.settings, EstimatePolicy())


def serve_with(path: str, policy: Policy) -> ExitCode:
    """Serve with a routing policy until a signal."""
    loaded = load_settings(path)
    if loaded.is_err():
        print(loaded.unwrap_err(), file=sys.stderr)
        return ExitCode.REFUSED
    settings = loaded.unwrap()
    configure_logging(settings.log_level.value, settings.instance_id)
    stop_on_broken_invariants()
    instance = Instance(settings, policy)
    gevent.signal_handler(signal.SIGTERM, _leave, instance)
    gevent.signal_handler(signal.SIGINT, _leave, instance)
    try:
        instance.start()
    except OSError as error:
        print(
            f"{path}: expected free addresses under $.listen, found: {error}",
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
