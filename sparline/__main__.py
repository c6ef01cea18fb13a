"""Start the command line, with the standard library patched before anything else."""

from gevent import monkey

monkey.patch_all()

import sys

from sparline.cli import main


def run() -> None:
    """Run the command line and exit with its code."""
    sys.exit(main(sys.argv[1:]))


if __name__ == "__main__":
    run()
