#!/usr/bin/env bash
# Build the stand-ins of the cases 11 to 15. They use Python's standard library only and
# run from their source; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand_ins_3/*.py 1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
