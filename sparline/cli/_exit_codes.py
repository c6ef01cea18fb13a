"""Exit codes of every subcommand."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Name what an exit code means."""

    OK = 0
    REFUSED = 1  # a file, a setting or a request was refused
    USAGE = 2  # the command line was wrong
    UNREACHABLE = 3  # no instance answered
    UNKNOWN_OUTCOME = 4  # a request may have run
