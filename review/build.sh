#!/usr/bin/env bash
# Builds the stand-ins that the cases start: plain Python, compiled as a check.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins [1-9]
