"""Tests of the process: signals during startup and invalid settings."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[3]
# Arguments of the two ways to start the program.
COMMANDS = [["sparline.gateway_process"], ["sparline", "gateway"]]


@pytest.mark.parametrize("command", COMMANDS, ids=["module", "command line"])
def test_sighup_during_startup_does_not_end_the_process(tmp_path, command):
    # The settings file is a pipe, so the process waits during startup until this test writes.
    settings = tmp_path / "settings.json"
    os.mkfifo(settings)
    process = subprocess.Popen(
        [sys.executable, "-m", *command],
        cwd=ROOT,
        env=os.environ | {"SPARLINE_NODE_FILE": str(settings)},
        stderr=subprocess.PIPE,
        text=True,
    )
    with settings.open("w") as pipe:
        process.send_signal(signal.SIGHUP)
        pipe.write("{")
    _, error_output = process.communicate(timeout=60)
    assert process.returncode == 1
    assert str(settings) in error_output
