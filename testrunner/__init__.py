"""Runs the test files in several pytest processes at once."""

from testrunner._known_red import KnownRed, read_known_red
from testrunner._result_plugin import is_one_of_several, was_collected

__all__ = ["KnownRed", "is_one_of_several", "read_known_red", "was_collected"]
