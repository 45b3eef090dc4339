#!/usr/bin/env bash
# Builds what the scripts of the second review start, after the build of the deploy
# file: programs and stand-ins are Python, so they are compiled and imported.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps"
python3 -m compileall -q greengagetack standins review/rig
for case in review/[0-9]*/case.py; do
    python3 -m compileall -q "$case"
done
python3 -c "import greengagetack.platform.daemon, review.rig.deployment"
