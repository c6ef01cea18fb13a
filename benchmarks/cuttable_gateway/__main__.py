"""Run the instance: `python -m benchmarks.cuttable_gateway`."""

import os
import runpy
from pathlib import Path

from benchmarks.cuttable_gateway import CUTS_FILE, CutWays, cut_sockets

if __name__ == "__main__":
    cut_sockets(CutWays(Path(os.environ[CUTS_FILE])))
    runpy.run_module("sparline.gateway_process", run_name="__main__", alter_sys=True)
