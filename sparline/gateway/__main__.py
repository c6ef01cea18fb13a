"""Run one instance on the users' platform, with the standard library patched first."""

from gevent import monkey

monkey.patch_all()

import sys

from sparline.gateway._run import run

if __name__ == "__main__":
    sys.exit(run())
