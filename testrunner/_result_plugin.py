"""Plugin of each pytest process: writes the counts of outcomes to a file for the runner."""

import json
from pathlib import Path

import pytest

from testrunner._known_red import KnownRed

OPTION = "--result-file"
_COLLECTED = pytest.StashKey[frozenset[str]]()


def is_one_of_several(config: pytest.Config) -> bool:
    """Tell whether the runner started this process beside others."""
    return config.getoption(OPTION, None) is not None


def was_collected(config: pytest.Config, entry: KnownRed) -> bool:
    """Tell whether this process, started by the runner, collected a test that an entry names."""
    return any(entry.names(one) for one in config.stash.get(_COLLECTED, frozenset()))


def pytest_addoption(parser: pytest.Parser) -> None:
    """Declare the option that names the file."""
    parser.addoption(OPTION, type=Path, help="write the counts of outcomes to this file, as JSON")


def pytest_collection_finish(session: pytest.Session) -> None:
    """Note the node ids of the collected tests."""
    session.config.stash[_COLLECTED] = frozenset(item.nodeid for item in session.items)


@pytest.hookimpl(trylast=True)
def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Write the result, once all tests of this process have ended."""
    path = config.getoption(OPTION)
    if path is None:
        return
    counts = {
        outcome: len(reports)
        for outcome, reports in terminalreporter.stats.items()
        if outcome  # the empty name holds the passed set-ups and tear-downs
    }
    collected = config.stash.get(_COLLECTED, frozenset())
    result = {"counts": counts, "collected": sorted(collected)}
    path.write_text(json.dumps(result), encoding="utf-8")
