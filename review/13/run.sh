#!/usr/bin/env bash
# Exit with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
exec timeout --signal=TERM 115 python3 case.py
