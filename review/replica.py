"""Stand-in for a replica of a plain service, as a process of its own (PROTOCOL.md, "Replicas").

It answers 421 where `Expected-Instance` names another replica and 400 where there is no
`Attempt-Id`, and runs neither. It runs all else once for each
arrival, notes that in a file, and answers with `Attempt-Id` and `Response-Seal`. The target says
what the work is: `ms` is how long it takes, `bytes` how long the answer is, `over_ms` over which
time it is written.

While the file of `--garble` exists, the replica is faulty as `garble` ("extra late") says: it breaks
some answers off before their first byte, and sends a second copy of others a little later, the id,
if there is one, included. Both together stay within 3 in 100 of its answers.
"""

import argparse
import hashlib
import json
import os
import socket
import threading
import time
from urllib.parse import parse_qs, urlsplit

BLOCK_BYTES = 16_384
# Closing with this set resets the connection.
RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"
# A faulty replica spoils at most this share of its answers, and breaks one off each so often (s).
SPOILT_SHARE = 0.03
CUT_EACH_S = 1.2
# How late a second copy of an answer is (s).
SURPLUS_AFTER_S = 0.1


def answer_body(attempt: str, replica: str, length: int) -> bytes:
    """Return the bytes that a replica makes for one request; each line says whose it is."""
    line = f"{attempt} {replica} ".encode()
    count = length // (len(line) + 9) + 1
    return b"".join(line + b"%08d\n" % number for number in range(count))[:length]


def seal_of(body: bytes) -> str:
    """Return the signature of a whole body."""
    return f"{len(body)}.{hashlib.sha256(body).hexdigest()[:24]}"


class Replica:
    """Serve connections, one request at a time on each."""

    def __init__(self, ip: str, port: int, name: str, runs_path: str, garble: str) -> None:
        """Open the port."""
        self._name = name
        self._runs_path = runs_path
        self._garble = garble
        self._answers = 0  # while it was faulty
        self._spoilt = 0  # of these
        self._cut_at = 0.0
        self._lock = threading.Lock()
        self._listener = socket.create_server((ip, port), backlog=256)

    def serve(self) -> None:
        """Accept until the process is killed."""
        while True:
            connection, _ = self._listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _note(self, **fields: object) -> None:
        line = json.dumps({"at": round(time.monotonic(), 4), "replica": self._name, **fields})
        with self._lock, open(self._runs_path, "a", encoding="utf-8") as file:
            file.write(line + "\n")

    def _serve(self, connection: socket.socket) -> None:
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    more = connection.recv(65_536)
                    if not more:
                        return
                    data += more
                head, _, data = data.partition(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").split("\r\n")
                method, target, _ = first.split(" ", 2)
                headers = {}
                for line in lines:
                    key, _, value = line.partition(":")
                    headers[key.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                while len(data) < length:
                    more = connection.recv(65_536)
                    if not more:
                        return
                    data += more
                body, data = data[:length], data[length:]
                if not self._answer(connection, method, target, headers, body):
                    return
        except OSError:
            return
        finally:
            connection.close()

    def _answer(
        self,
        connection: socket.socket,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
    ) -> bool:
        attempt = headers.get("attempt-id", "")
        expected = headers.get("expected-instance")
        if (expected is not None and expected != self._name) or not attempt:
            return self._refuse(connection, attempt, 421 if attempt or expected else 400)
        query = parse_qs(urlsplit(target).query)
        work_ms = float(query.get("ms", ["20"])[0])
        length = int(query.get("bytes", ["200"])[0])
        over_ms = float(query.get("over_ms", ["0"])[0])
        self._note(event="run", attempt=attempt, method=method, target=target, body=len(body))
        time.sleep(work_ms / 1000)
        if self._is_spoilt(time.monotonic() - self._cut_at > CUT_EACH_S):
            self._cut_at = time.monotonic()
            self._note(event="cut", attempt=attempt, **self._share())
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            return False
        content = answer_body(attempt, self._name, length)
        head = (
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: {seal_of(content)}\r\n"
            f"Content-Type: text/plain\r\nContent-Length: {length}\r\n\r\n"
        ).encode()
        if not over_ms:
            connection.sendall(head + content)
        else:
            connection.sendall(head)
            blocks = range(0, length, BLOCK_BYTES)
            pause_s = over_ms / 1000 / max(len(blocks), 1)
            for start in blocks:
                connection.sendall(content[start : start + BLOCK_BYTES])
                time.sleep(pause_s)
        self._note(event="answered", attempt=attempt)
        return True

    def _refuse(self, connection: socket.socket, attempt: str, status: int) -> bool:
        lines = [f"HTTP/1.1 {status} Refused", f"Instance-Id: {self._name}"]
        if status != 421:
            lines.append("Not-Executed: 1")
        if attempt:
            lines.append(f"Attempt-Id: {attempt}")
        answer = "\r\n".join([*lines, "Content-Length: 0", "", ""]).encode()
        connection.sendall(answer)
        if self._is_spoilt(not attempt):
            threading.Timer(SURPLUS_AFTER_S, self._send_again, (connection, answer)).start()
        return True

    def _send_again(self, connection: socket.socket, answer: bytes) -> None:
        try:
            connection.sendall(answer)
        except OSError:
            return
        first = answer.partition(b"\r\n")[0].decode()
        self._note(event="second answer", answer=first, **self._share())

    def _is_spoilt(self, is_wanted: bool) -> bool:
        """Count an answer; tell whether it is spoilt, if that is wanted and within the share."""
        with self._lock:
            if not self._garble or not os.path.exists(self._garble):
                return False
            self._answers += 1
            if not is_wanted or self._spoilt + 1 > SPOILT_SHARE * self._answers:
                return False
            self._spoilt += 1
            return True

    def _share(self) -> dict[str, int]:
        return {"spoilt": self._spoilt, "of": self._answers}


def main() -> None:
    """Read the arguments and serve."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--ip", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--runs", required=True)
    parser.add_argument("--garble", default="")
    given = parser.parse_args()
    Replica(given.ip, given.port, given.name, given.runs, given.garble).serve()


if __name__ == "__main__":
    main()
