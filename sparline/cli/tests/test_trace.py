import json

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
