"""Tests that structured lines written without loguru equal those of its sink."""

import subprocess
import sys
import time

import msgspec
import pytest
from loguru import logger

from sparline._logging import LineLevel, LogFront
from sparline.gateway import _log_output
from sparline.gateway._log_output import LogOutput, configure


@pytest.fixture
def output(monkeypatch):
    monkeypatch.setattr(_log_output, "log", LogFront())
    monkeypatch.setattr(_log_output.os, "set_blocking", lambda *_: None)
    yield LogOutput("instance-1")
    logger.remove()
    logger.add(sys.stderr)


FIELDS = (
    {},
    {"request_id": 'a"\\\n\x7f é', "left": None, "loss": 0.1, "sends": 3, "pair": [1, "x"]},
    {"level": "own", "event": "own", "at": 1, "instance": "own"},
)


@pytest.mark.parametrize("fields", FIELDS)
@pytest.mark.parametrize("level", list(LineLevel)[1:])
def test_line_equals_that_of_loguru(output, fields, level):
    # Readers of the log must not be able to tell the two paths apart.
    configure(output, "INFO")
    began_s = time.time()
    getattr(_log_output.log.bind(**fields), level.name.lower())("{event}")
    logger.bind(**fields).log(level.name, "{event}")
    direct, by_loguru = output._lines
    at = [msgspec.json.decode(line)["at"] for line in output._lines]
    assert direct.replace(str(at[0]).encode(), b"") == by_loguru.replace(str(at[1]).encode(), b"")
    if "at" not in fields:
        assert began_s - 0.001 <= at[0] <= at[1] <= time.time() + 0.001


@pytest.mark.parametrize("level", ("DEBUG", "INFO", "WARNING", "ERROR"))
def test_level_filter_equals_that_of_loguru(output, level):
    configure(output, level)
    for one in LineLevel:
        before = len(output._lines)
        logger.log(one.name, "event")
        by_loguru = len(output._lines) - before
        _log_output.log.write(one, "event", {})
        assert len(output._lines) - before == 2 * by_loguru
        assert _log_output.log.is_written(one) is bool(by_loguru)


def test_line_that_cannot_be_encoded_raises_no_exception(output, capsys):
    configure(output, "INFO")
    _log_output.log.bind(field=object()).info("event")
    assert not output._lines


def test_loguru_sinks_get_lines_if_no_output_is_configured(output):
    logger.remove()
    found = []
    logger.add(lambda message: found.append(message.record["extra"]), level="INFO")
    _log_output.log.bind(field=1).info("event")
    assert found == [{"field": 1}]


def test_lines_beyond_the_queue_limit_are_dropped(output, monkeypatch):
    monkeypatch.setattr(_log_output, "MAX_QUEUED_LINES", 2)
    configure(output, "INFO")
    for _ in range(5):
        _log_output.log.bind().info("event")
    assert (len(output._lines), output.dropped) == (2, 3)


@pytest.mark.parametrize("imported_before", (True, False))
def test_unstructured_lines_reach_the_output_through_loguru(output, monkeypatch, imported_before):
    # Lines with a formatted sentence, such as that about a refused datagram, are not structured.
    if not imported_before:
        monkeypatch.delitem(sys.modules, "loguru")
    configure(output, "INFO")
    _log_output.log.warning("gossip: {} refused", "x")
    _log_output.log.debug("not written")
    assert [msgspec.json.decode(one)["event"] for one in output._lines] == ["gossip: x refused"]


def test_startup_and_structured_lines_do_not_import_loguru():
    # Importing loguru, which imports asyncio, would lengthen every start.
    script = (
        "import sys; from sparline.gateway._log_output import LogOutput, configure;"
        "import sparline.gateway; from sparline._logging import log;"
        "configure(LogOutput('x'), 'INFO'); log.bind(a=1).info('b'); assert 'loguru' not in sys.modules"
    )
    subprocess.run([sys.executable, "-c", script], check=True, stdout=subprocess.DEVNULL)
