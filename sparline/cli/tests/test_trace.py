import json

import pytest

from sparline.cli import main

LOGS = [
    {
        "at": 2.0,
        "instance": "b",
        "level": "INFO",
        "event": "request_ended",
        "request_id": "r1",
        "status": 200,
    },
    {
        "at": 1.0,
        "instance": "a",
        "level": "INFO",
        "event": "request_retried",
        "request_id": "r1",
        "reason": "peer_lost",
    },
    {
        "at": 1.5,
        "instance": "a",
        "level": "INFO",
        "event": "request_ended",
        "request_id": "r11",
        "status": 200,
    },
]


def test_the_lines_about_a_request_come_in_order(tmp_path, capsys):
    log = tmp_path / "log"
    rows = [f"12.5 some-name {json.dumps(line)}\n" for line in LOGS]
    log.write_text("".join(rows) + '{"at": 3, "request_id": "r1", cut off\n')
    assert main(["trace", "r1", str(log)]) == 0
    assert capsys.readouterr().out.splitlines() == [
        "1.000 a request_retried reason=peer_lost",
        "2.000 b request_ended status=200",
    ]


def test_a_request_that_no_log_knows_is_said_so(tmp_path, capsys):
    log = tmp_path / "log"
    log.write_text("")
    assert main(["trace", "r1", str(log)]) == 3
    assert "no line about r1" in capsys.readouterr().err


# The first try ran at b and its server ended; the caller's repeat was turned away at a.
REPEATS = [
    {"at": 1.0, "instance": "b", "level": "INFO", "event": "answer_broken"}
    | {"request_id": "r1", "content": "c1", "backend_server": "e1"},
    {"at": 1.1, "instance": "b", "level": "WARNING", "event": "request_suspected"}
    | {"content": "c1", "ends": 2},
    {"at": 2.0, "instance": "a", "level": "INFO", "event": "request_ended"}
    | {"request_id": "r2", "content": "c1", "reason": "quarantined"},
    {"at": 2.5, "instance": "a", "level": "INFO", "event": "answer_broken"}
    | {"request_id": "r3", "content": "c2", "backend_server": "e1"},
]
STORY = [
    "1.000 b answer_broken r1 content=c1 backend_server=e1",
    "1.100 b request_suspected content=c1 ends=2",
    "2.000 a request_ended r2 content=c1 reason=quarantined",
]


@pytest.mark.parametrize("name", ["r1", "r2", "c1"])
def test_a_request_leads_to_its_repeats_by_its_content(tmp_path, capsys, name):
    log = tmp_path / "log"
    log.write_text("".join(f"{json.dumps(line)}\n" for line in REPEATS))
    assert main(["trace", name, str(log)]) == 0
    assert capsys.readouterr().out.splitlines() == STORY
