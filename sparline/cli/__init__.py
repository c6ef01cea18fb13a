"""The command line."""

from sparline.cli._exit_codes import ExitCode
from sparline.cli._main import main
from sparline.cli._serve import serve_with
from sparline.cli._settings import load_settings

__all__ = ["ExitCode", "load_settings", "main", "serve_with"]
