#!/bin/sh
# Builds the stand-ins of the second review's scripts, after the build of the deploy file: they are
# Python and import the libraries under target/deps alone, so that building them means compiling them.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD/target/deps:$PWD" python3 -S -m compileall -q review/standins review/4 review/5 review/6 review/7 review/8
PYTHONPATH="$PWD/target/deps:$PWD" python3 -S -c "import review.standins"
