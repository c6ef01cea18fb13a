#!/bin/sh
# Builds the stand-ins of the cases: plain Python of the standard library, so that it only checks
# that they load, and that the build of the deploy file has run.
cd "$(dirname "$0")/.." || exit 1
test -d target/deps || { echo "review/build.sh: run the build of the deploy file first" >&2; exit 1; }
for module in review.replica review.store review.client review.fleet; do
    PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=. python3 -S -c "import $module" || exit 1
done
