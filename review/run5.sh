#!/bin/sh
# run5.sh N: runs case N five times with the disruption and once without it, and once more
# for the record; prints what each run says.
cd "$(dirname "$0")" || exit 2
run() {
    echo "case $2, $1:" "$("$2/run.sh" 2>&1 | grep -v '^store' | tr '\n' ';')"
}
for round in 1 2 3 4 5; do
    run "round $round" "$1"
done
TROUBLE=0
export TROUBLE
run "TROUBLE=0" "$1"
unset TROUBLE
run "for the record" "$1"
