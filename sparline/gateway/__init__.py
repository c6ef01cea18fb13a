"""A gateway instance: its components and its life cycle from start to stop."""

from sparline.gateway._gateway import Gateway
from sparline.gateway._run import run, settings_path
from sparline.gateway._settings import load_settings

__all__ = ["Gateway", "load_settings", "run", "settings_path"]
