"""Stopping a server must leave no event-loop watcher on its closed sockets.

A remaining watcher aborts the process once the file descriptor is reused.
"""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[3]
# Starts and stops servers, then reuses the file descriptors of the closed sockets.
REUSE_DESCRIPTORS_SCRIPT = """
from gevent import monkey
monkey.patch_all()
import socket
import subprocess
import gevent
from websockets.sync.server import serve
from sparline.peers import stop_serving
for _ in range(3):
    server = serve(lambda connection: None, "127.0.0.1", 0)
    task = gevent.spawn(server.serve_forever)
    gevent.sleep(0.02)
    stop_serving(server)
    stop_serving(server)
    task.join()
for _ in range(10):
    subprocess.run(["true"], capture_output=True)
    one, other = socket.socketpair()
    gevent.spawn_later(0.01, other.send, b"x")
    one.recv(1)
    one.close()
    other.close()
    gevent.sleep(0.001)
print("completed")
"""


def test_stopped_server_leaves_no_watcher_that_aborts_the_process() -> None:
    result = subprocess.run(
        [sys.executable, "-c", REUSE_DESCRIPTORS_SCRIPT],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert (result.returncode, result.stdout) == (0, "completed\n"), result.stderr
