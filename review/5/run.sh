#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken.
set -euo pipefail
cd "$(dirname "$0")"
exec python3 case.py
