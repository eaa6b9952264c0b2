#!/bin/sh
# Build what the scripts of the second review start: its stand-ins need no package.
cd "$(dirname "$0")/.." || exit 2
for file in review/stand_ins_2/rig.py review/[6-9]/case.py; do
    python3 -B -c "
import sys
compile(open(sys.argv[1], encoding='utf-8').read(), sys.argv[1], 'exec')
" "$file" || exit 1
done
# Case 8 runs the daemons with a newer Python, if there is one.
. review/stand_ins_2/newer_python.sh
if [ -n "$NEWER" ] && [ ! -d target/deps-newer ]; then
    "$NEWER" -m pip install -q --target target/deps-newer -r deploy/requirements.txt ||
        rm -rf target/deps-newer
fi
exit 0
