#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.."
exec env PYTHONDONTWRITEBYTECODE=1 python3 review/8/case.py
