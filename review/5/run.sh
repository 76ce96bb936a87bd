#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
[ -d ../../target/deps ] || { echo "target/deps is missing: run the build first"; exit 2; }
export PYTHONPATH="..${PYTHONPATH:+:$PYTHONPATH}"
exec python3 case.py
