"""Main function of the process: settings, signals, start and stop."""

import os
import signal
from pathlib import Path

import gevent
from gevent.hub import Hub
from result import Err, Ok

from sparline._logging import log
from sparline.gateway._gateway import Gateway
from sparline.gateway._log_output import LogOutput, configure, print_startup_error
from sparline.gateway._settings import load_settings
from sparline.schema._gateway import GatewaySettings

# Environment variable in which the platform passes the path of the settings file.
SETTINGS_VARIABLE = "SPARLINE_NODE_FILE"
DEFAULT_SETTINGS = "/etc/sparline/settings.json"
# Interval at which the settings file is checked (s), because it may change without a signal.
SETTINGS_POLL_INTERVAL_S = 2.0

EXIT_OK = 0
EXIT_REFUSED = 1


def settings_path() -> str:
    """Return the path of the settings file."""
    return os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS)


def run(path: str) -> int:
    """Serve until SIGTERM; return the exit code."""
    match load_settings(path):
        case Err(reason):
            print_startup_error(reason)
            return EXIT_REFUSED
        case Ok(settings):
            return _serve(path, settings)
    raise AssertionError("a result is either Ok or Err")


def _serve(path: str, settings: GatewaySettings) -> int:
    # A failed assertion in any greenlet ends the process. Other failures are handled or logged.
    Hub.SYSTEM_ERROR = (*Hub.SYSTEM_ERROR, AssertionError)
    output = LogOutput(settings.name)
    configure(output, settings.log_level.value)
    gevent.spawn(output.run)
    gateway = Gateway(settings)
    gevent.signal_handler(signal.SIGTERM, gateway.leave)
    gevent.signal_handler(signal.SIGINT, gateway.leave)
    reloader = _Reloader(path, gateway)
    gevent.signal_handler(signal.SIGHUP, reloader.reload)
    try:
        gateway.start()
    except OSError as error:
        print_startup_error(f"{path}: expected free addresses under $.listen, found: {error}")
        return EXIT_REFUSED
    log.bind(region=settings.region, zone=settings.availability_zone).info("instance_started")
    gevent.spawn(reloader.run)
    gateway.wait()
    output.flush()
    return EXIT_OK


class _Reloader:
    """Applies changed settings; if they are invalid, the previous ones stay in force."""

    def __init__(self, path: str, gateway: Gateway) -> None:
        self._path = path
        self._gateway = gateway
        # The file may have changed since it was loaded, so the first check compares its settings.
        self._content: bytes | None = None

    def _read(self) -> bytes | None:
        try:
            return Path(self._path).read_bytes()
        except OSError as error:
            log.bind(text=str(error)).warning("settings_unreadable")
            return None

    def run(self) -> None:
        while True:
            gevent.sleep(SETTINGS_POLL_INTERVAL_S)
            self.reload()

    def reload(self) -> None:
        content = self._read()
        if content is None or content == self._content:
            return
        self._content = content
        match load_settings(self._path):
            case Err(reason):
                log.bind(text=reason).error("settings_refused")
            case Ok(settings):
                if settings == self._gateway.settings:
                    return
                restart_needed = self._gateway.reload(settings)
                log.bind(need_restart=restart_needed).info("settings_reloaded")
