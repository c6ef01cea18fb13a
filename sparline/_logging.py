"""Log lines: short sentences, each with the prefix of its part."""

import sys

from loguru import logger

log = logger


def configure_logging(level: str, instance_id: str) -> None:
    """Write lines of a level and above to standard error."""
    logger.remove()
    line = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level} " + instance_id + " {message}"
    logger.add(sys.stderr, level=level, format=line, backtrace=False, diagnose=False)
