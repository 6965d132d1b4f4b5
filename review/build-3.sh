#!/bin/sh
# Prepares the scripts of review/11 to review/15. Their stand-ins are in Python and need its
# standard library only, so there is nothing to compile.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9), "python3 is too old"'
for it in stand_ins_3.py stand_ins_3_rollout.py 1[1-5]/case.py; do
  if [ -f "$it" ]; then python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$it"; fi
done
