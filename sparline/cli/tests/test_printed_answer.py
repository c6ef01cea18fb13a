"""Tests of what commands print of an instance's answer, and of their exit codes."""

import argparse

import pytest
from result import Err, Ok

from sparline.cli import _quarantine, _status
from sparline.cli._exit_codes import ExitCode
from sparline.cli._http import HttpAnswer

PARTS: dict[str, list[str]] = {"parts": []}
ROUTE = {"decision": {"at": "a"}, "candidates": []}
REFUSED = HttpAnswer(404, {"error": "no such part"})

ROWS = [
    # answer, document as JSON, exit code, start of the output, error output
    ("no answer", Err("no answer from a"), False, ExitCode.UNREACHABLE, "", "no answer from a\n"),
    ("refused", Ok(REFUSED), False, ExitCode.REFUSED, "", "no such part\n"),
    ("refused as JSON", Ok(REFUSED), True, ExitCode.REFUSED, "", "no such part\n"),
]
QUARANTINE_ROWS = [
    *ROWS,
    ("text", Ok(HttpAnswer(200, PARTS)), False, ExitCode.OK, "no part is in quarantine\n", ""),
    ("JSON", Ok(HttpAnswer(200, PARTS)), True, ExitCode.OK, '{"parts": []}\n', ""),
]
EXPLAIN_ROWS = [
    *ROWS,
    ("text", Ok(HttpAnswer(200, ROUTE)), False, ExitCode.OK, "decision: at a\n", ""),
    ("JSON", Ok(HttpAnswer(200, ROUTE)), True, ExitCode.OK, '{"decision": {"at": "a"}, ', ""),
]


@pytest.mark.parametrize(
    ("answer", "as_json", "code", "output", "error"),
    [row[1:] for row in QUARANTINE_ROWS],
    ids=[row[0] for row in QUARANTINE_ROWS],
)
def test_quarantine_prints_the_answer(monkeypatch, capsys, answer, as_json, code, output, error):
    monkeypatch.setattr(_quarantine, "get_json", lambda _address, _path: answer)
    options = argparse.Namespace(metrics="127.0.0.1:1", release=None, json=as_json)
    assert _quarantine.quarantine(options) is code
    printed = capsys.readouterr()
    assert (printed.out, printed.err) == (output, error)


@pytest.mark.parametrize(
    ("answer", "as_json", "code", "output", "error"),
    [row[1:] for row in EXPLAIN_ROWS],
    ids=[row[0] for row in EXPLAIN_ROWS],
)
def test_explain_prints_the_answer(monkeypatch, capsys, answer, as_json, code, output, error):
    monkeypatch.setattr(_status, "get_json", lambda _address, _path: answer)
    options = argparse.Namespace(
        operators="127.0.0.1:1",
        organisation="o",
        target="m",
        adapter="",
        prompt_tokens=1,
        output_tokens=1,
        deadline_ms=1,
        not_repeatable=False,
        json=as_json,
    )
    assert _status.explain(options) is code
    printed = capsys.readouterr()
    assert printed.out.startswith(output)
    assert bool(printed.out) is bool(output)
    assert printed.err == error
