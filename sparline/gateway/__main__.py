"""Run one instance on the users' platform, with the standard library patched first."""

from gevent import monkey

monkey.patch_all()

import sys

from sparline.gateway import run, settings_path

if __name__ == "__main__":
    sys.exit(run(settings_path()))
