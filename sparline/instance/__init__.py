"""One instance of the system."""

from sparline.instance._instance import Instance

__all__ = ["Instance"]
