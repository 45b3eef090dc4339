#!/usr/bin/env bash
# Builds the stand-ins of the cases: they are Python, so that they only have to compile
# and to find their libraries, which the build of the deploy file has put in target/deps.
set -eu
root="$(cd "$(dirname "$0")/.." && pwd)"
cd "$root"
python3 -m compileall -q standins review
PYTHONPATH="$root:$root/target/deps" python3 -c \
	"import review.support.main, review.support.clients, review.support.trainer"
