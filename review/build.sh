#!/usr/bin/env bash
# Compiles the stand-ins of the cases; they need the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins.py 1 2 3 4 5
