#!/usr/bin/env bash
# Checks the stand-ins of the scripts, which are Python and need no build.
set -euo pipefail
cd "$(dirname "$0")"
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX=$cache python3 -m py_compile standins/platform_standins.py [1-9]/case.py
