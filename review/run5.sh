#!/bin/sh
# run5.sh N: runs case N five times with the disruption and once without it.
cd "$(dirname "$0")" || exit 2
for round in 1 2 3 4 5; do
    "$1/run.sh" >/dev/null 2>&1
    echo "case $1, round $round: exit code $?"
done
TROUBLE=0 "$1/run.sh" >/dev/null 2>&1
echo "case $1, TROUBLE=0: exit code $?"
"$1/run.sh" >/dev/null 2>&1
echo "case $1, record with the disruption: exit code $?"
