#!/usr/bin/env bash
# Runs the case of a folder: exits with 1 if its rule was broken, 0 if it held, and 2 if
# the case could not run.
set -u
root="$(cd "$(dirname "$0")/.." && pwd)"
cd "$root" || exit 2
export PYTHONPATH="$root:$root/target/deps"
timeout -k 5 115 python3 -m "review.$1.case"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
